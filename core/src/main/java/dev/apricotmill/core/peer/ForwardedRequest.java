package dev.apricotmill.core.peer;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;

/**
 * A request that the entry daemon forwards to the steward of a replica. The wire message carries
 * the remaining time instead of the deadline.
 *
 * @param entry the entry daemon's incarnation
 * @param replica the replica that the entry daemon chose
 * @param attempt number of the forward of the request, from 1
 * @param request the request
 * @param resumeAt position of the first token to generate
 * @param generatedText text that the caller has already received
 * @param traceParent the W3C trace context, empty if none
 */
public record ForwardedRequest(
    Incarnation entry,
    ReplicaId replica,
    int attempt,
    GenerationRequest request,
    long resumeAt,
    String generatedText,
    String traceParent) {}
