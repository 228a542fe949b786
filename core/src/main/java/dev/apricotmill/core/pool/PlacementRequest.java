package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;

/**
 * A request for engines that generate the response to a prompt.
 *
 * @param requestId the request's identifier
 * @param service the pool
 * @param size the size of the prompt and of the response
 * @param promptParts the parts of the prompt
 * @param firstEventTarget the time left until the first event would miss its latency target
 * @param eventGapTarget the longest gap between events of the response that is on time
 * @param remainingTime the time left until the request's deadline
 * @param excludedServers servers that have already failed this request, or want no requests from
 *     the node that relays it
 */
public record PlacementRequest(
    RequestId requestId,
    ServiceName service,
    GenerationSize size,
    PromptParts promptParts,
    Duration firstEventTarget,
    Duration eventGapTarget,
    Duration remainingTime,
    ImmutableSet<ReplicaId> excludedServers) {

  /** Returns the request with another identifier. */
  public PlacementRequest withId(RequestId newRequestId) {
    return new PlacementRequest(
        newRequestId,
        service,
        size,
        promptParts,
        firstEventTarget,
        eventGapTarget,
        remainingTime,
        excludedServers);
  }

  /** Returns the request with more servers excluded. */
  public PlacementRequest excluding(ImmutableSet<ReplicaId> servers) {
    return servers.isEmpty()
        ? this
        : new PlacementRequest(
            requestId,
            service,
            size,
            promptParts,
            firstEventTarget,
            eventGapTarget,
            remainingTime,
            Sets.union(excludedServers, servers).immutableCopy());
  }
}
