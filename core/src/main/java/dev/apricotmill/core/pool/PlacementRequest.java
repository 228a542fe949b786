package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;

/**
 * A request for text that needs engines.
 *
 * @param request the request
 * @param service the pool
 * @param size its size
 * @param firstEventTarget the time that is left until the first event would be late
 * @param eventGapTarget the longest pause between its events that is on time
 * @param remainingTime the time that is left until the caller gives up
 * @param excludedServers servers that the request has already failed at
 */
public record PlacementRequest(
    RequestId request,
    ServiceName service,
    GenerationSize size,
    Duration firstEventTarget,
    Duration eventGapTarget,
    Duration remainingTime,
    ImmutableSet<ReplicaId> excludedServers) {}
