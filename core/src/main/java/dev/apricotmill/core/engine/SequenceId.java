package dev.apricotmill.core.engine;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.request.RequestId;

/**
 * Identifies one sequence on an engine: which life of which daemon asked for it, for which request,
 * at which attempt.
 *
 * @param owner the daemon incarnation that dispatched it
 * @param request the request
 * @param attempt counts the dispatches of the request, from 1
 */
public record SequenceId(Incarnation owner, RequestId request, int attempt) {}
