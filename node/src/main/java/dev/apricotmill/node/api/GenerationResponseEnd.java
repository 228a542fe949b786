package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.request.RequestId;

/**
 * The end of an answer.
 *
 * @param request the request
 * @param outcome what became of it
 * @param usage the engine's counts
 * @param hops the names of the processes that the request passed, in order
 */
public record GenerationResponseEnd(
    RequestId request, Outcome outcome, ForwardEnd.Usage usage, ImmutableList<String> hops) {}
