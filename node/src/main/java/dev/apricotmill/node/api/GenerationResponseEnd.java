package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.request.RequestId;

/**
 * The end of a response to a generation request.
 *
 * @param request the request
 * @param outcome its outcome
 * @param usage the engine's token counts
 * @param hops the names of the daemons and replicas on the request's path, in order
 */
public record GenerationResponseEnd(
    RequestId request, Outcome outcome, ForwardEnd.Usage usage, ImmutableList<String> hops) {}
