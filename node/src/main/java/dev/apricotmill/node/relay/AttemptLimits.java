package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.function.Supplier;

/** Counts the attempts of one request, and decides whether another one is allowed. */
final class AttemptLimits {

  /** Attempts that may fail before a byte is sent; each failure takes a connect timeout. */
  private static final int MAX_FAILED_CONNECTIONS = 3;

  /** With less time remaining, another attempt cannot get a response. */
  private static final Duration MIN_TIME_FOR_RETRY = Duration.ofMillis(50);

  private final RelayNode node;
  private final Route route;
  private final ServiceName service;
  private final Supplier<Duration> remaining;
  private int attempts;
  private int failedConnections;

  /**
   * Creates limits for a request that was not sent yet.
   *
   * @param remaining returns the time until the request's deadline
   */
  AttemptLimits(RelayNode node, Route route, ServiceName service, Supplier<Duration> remaining) {
    this.node = node;
    this.route = route;
    this.service = service;
    this.remaining = remaining;
  }

  int attempts() {
    return attempts;
  }

  void onSend() {
    attempts++;
  }

  /** Takes back an attempt of which no byte was sent. */
  void onNotSent() {
    attempts--;
  }

  /** Returns what a passed deadline means for the caller. */
  RelayRefusal expiryReason() {
    return attempts > 0 ? RelayRefusal.EXPIRED : RelayRefusal.EXPIRED_UNSENT;
  }

  boolean canRetry() {
    return attempts < route.maximumAttempts() && hasTimeForRetry();
  }

  /** Takes a retry from the budget of the service, if one is left and allowed. */
  boolean tryTakeRetry() {
    if (!canRetry() || !node.retryBudget(service).tryTake()) {
      return false;
    }
    node.metrics().recordRetry();
    return true;
  }

  /** Allows another attempt outside the retry budget, since nothing was sent in the last one. */
  boolean tryTakeReplacement() {
    return ++failedConnections < MAX_FAILED_CONNECTIONS && hasTimeForRetry();
  }

  private boolean hasTimeForRetry() {
    return remaining.get().compareTo(MIN_TIME_FOR_RETRY) > 0;
  }
}
