package dev.apricotmill.core.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;

/**
 * A rule that maps requests to services.
 *
 * @param name the route's name in the configuration
 * @param host the value of the requests' Host header
 * @param pathPrefix the prefix of the requests' paths
 * @param responseKind the kind of the responses
 * @param retryPolicy whether a request may run more than once
 * @param timeout the time limit of a request
 * @param latencyTarget the time within which a response, or the first event of a stream, is on time
 * @param eventGapTarget the longest gap between events of a stream that is on time
 * @param priority the priority; 0 is the highest
 * @param maximumAttempts the maximum number of attempts at backend servers per request
 * @param anonymousAllowed whether requests are accepted without a customer key
 * @param services the services that share the requests, with their weights
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

  /** The kind of a route's responses. */
  public enum ResponseKind {
    /** A body that is useful only as a whole. */
    WHOLE,
    /** A series of events. */
    STREAM
  }

  /**
   * Returns the service for a request, or empty if no service has a positive weight.
   *
   * @param point a uniformly distributed number from 0 (inclusive) to 1 (exclusive)
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
