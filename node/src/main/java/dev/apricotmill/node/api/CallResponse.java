package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.service.CallResult;
import java.util.Optional;

/**
 * The answer to a call of a plain service.
 *
 * @param request the request
 * @param outcome what became of it
 * @param response the service's answer, present if the outcome is answered
 * @param replayed whether the response is that of an earlier request with the same key
 * @param hops the names of the processes that the request passed, in order
 */
public record CallResponse(
    RequestId request,
    Outcome outcome,
    Optional<CallResult.Response> response,
    boolean replayed,
    ImmutableList<String> hops) {}
