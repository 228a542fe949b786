package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request; its path, headers and body are passed on unchanged.
 *
 * @param id the caller's identifier of this attempt
 * @param host the host that it is addressed to
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers to pass on
 * @param body the body; not to be modified
 * @param customerKey the customer's key
 * @param callerTimeout how long the caller waits for the response
 * @param size the prompt and output sizes, if it requests generated text
 * @param promptParts the parts of the prompt, if it requests generated text
 * @param resumeAfterEvent the last event that the caller has, if it resumes a stream
 */
@SuppressWarnings("ArrayRecordComponent")
public record RelayRequest(
    RequestId id,
    String host,
    String method,
    String path,
    ImmutableMap<String, String> headers,
    byte[] body,
    Optional<String> customerKey,
    Optional<Duration> callerTimeout,
    Optional<GenerationSize> size,
    PromptParts promptParts,
    OptionalLong resumeAfterEvent) {

  private static final GenerationSize NO_GENERATION = new GenerationSize(0, 0);

  /** Returns how long the request may take on {@code route}, counted from its arrival. */
  Duration timeLimit(Route route, Duration defaultCallerTimeout) {
    return Comparators.min(callerTimeout.orElse(defaultCallerTimeout), route.timeout());
  }

  /**
   * Returns the request for engines of a pool; the request must ask for generated text.
   *
   * @param waited the time since it arrived
   * @param remaining the time until its deadline
   * @param excluded the servers to which it must not go
   */
  PlacementRequest toPlacementRequest(
      Route route,
      ServiceName service,
      Duration waited,
      Duration remaining,
      ImmutableSet<ReplicaId> excluded) {
    return new PlacementRequest(
        id,
        service,
        size.orElseThrow(),
        promptParts,
        route.latencyTarget().minus(waited),
        route.eventGapTarget().orElse(route.latencyTarget()),
        remaining,
        excluded);
  }

  /**
   * Returns the request for any server of a service without engines. Its target is that of an
   * attempt, so that a server is not blamed for the time that others took before it.
   *
   * @param remaining the time until its deadline
   * @param excluded the servers to which it must not go
   */
  PlacementRequest toWeighedRequest(
      Route route, ServiceName service, Duration remaining, ImmutableSet<ReplicaId> excluded) {
    return new PlacementRequest(
        id,
        service,
        size.orElse(NO_GENERATION),
        promptParts,
        route.latencyTarget(),
        route.timeout(),
        remaining,
        excluded);
  }

  /**
   * Returns the request for one of the servers that have limits, of a service without engines.
   *
   * @param remaining the time until its deadline
   * @param excluded the servers to which it must not go
   */
  PlacementRequest toLimitRequest(
      Route route, ServiceName service, Duration remaining, ImmutableSet<ReplicaId> excluded) {
    return new PlacementRequest(
        id,
        service,
        size.orElse(NO_GENERATION),
        promptParts,
        route.timeout(),
        route.timeout(),
        remaining,
        excluded);
  }
}
