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
 * @param goal the time that is left until the first event would be late
 * @param pauseGoal the longest pause between its events that is on time
 * @param remaining the time that is left until the caller gives up
 * @param avoid servers that the request has already failed at
 */
public record PlacementAsk(
    RequestId request,
    ServiceName service,
    GenerationSize size,
    Duration goal,
    Duration pauseGoal,
    Duration remaining,
    ImmutableSet<ReplicaId> avoid) {}
