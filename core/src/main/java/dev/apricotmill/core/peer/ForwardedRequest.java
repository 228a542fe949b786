package dev.apricotmill.core.peer;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;

/**
 * A request on its way from the entry daemon to the steward of a replica. The wire carries the time
 * that remains instead of the deadline.
 *
 * @param entry the entry daemon's life
 * @param replica the replica that the entry daemon chose
 * @param attempt counts the forwards of the request, from 1
 * @param request the request
 * @param resumeAt the position of the first token that is still wanted
 * @param generatedText the text that the caller already received
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
