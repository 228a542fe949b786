package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.service.CallResult;
import java.util.Optional;

/**
 * The response to a call of a plain service.
 *
 * @param request the request
 * @param outcome its outcome
 * @param response the service's response, present if the outcome is answered
 * @param replayed whether the response is that of an earlier request with the same key
 * @param hops the names of the daemon and the replicas on the request's path, in order
 */
public record CallResponse(
    RequestId request,
    Outcome outcome,
    Optional<CallResult.Response> response,
    boolean replayed,
    ImmutableList<String> hops) {}
