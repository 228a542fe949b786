package dev.apricotmill.core.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;

/**
 * A rule that sends requests to services.
 *
 * @param name the route's name in the configuration
 * @param host the host that requests name
 * @param pathPrefix the beginning of their paths
 * @param responseKind what their answers are
 * @param retryPolicy how often they may run
 * @param timeout how long a request may be kept waiting
 * @param latencyTarget the time in which an answer, or the first event of a stream, is on time
 * @param eventGapTarget the longest pause between events of a stream that is on time
 * @param priority the rank, 0 first
 * @param maximumAttempts how many backend servers a request may be sent to
 * @param anonymousAllowed whether requests need no customer key
 * @param services where requests go, by weight
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    ResponseKind responseKind,
    RetryPolicy retryPolicy,
    Duration timeout,
    Duration latencyTarget,
    Optional<Duration> eventGapTarget,
    int priority,
    int maximumAttempts,
    boolean anonymousAllowed,
    ImmutableList<WeightedService> services) {

  /** What answers of a route are. */
  public enum ResponseKind {
    /** A body that is useful only as a whole. */
    WHOLE,
    /** A series of events. */
    STREAM
  }

  /**
   * Returns the service for a request.
   *
   * @param point a number from 0 (included) to 1 (excluded) that spreads requests evenly
   */
  public Optional<ServiceName> serviceAt(double point) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    double position = point * total;
    for (WeightedService candidate : services) {
      position -= candidate.weight();
      if (position < 0) {
        return Optional.of(candidate.service());
      }
    }
    return Optional.empty();
  }

  /** Returns whether a broken stream may be continued by another backend server. */
  public boolean resumable() {
    return responseKind == ResponseKind.STREAM && retryPolicy == RetryPolicy.REPEATABLE;
  }
}
