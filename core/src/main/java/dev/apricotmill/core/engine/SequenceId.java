package dev.apricotmill.core.engine;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.request.RequestId;

/**
 * Identifies one sequence on an engine by the daemon incarnation that dispatched it, the request
 * and the attempt.
 *
 * @param owner the daemon incarnation that dispatched it
 * @param request the request
 * @param attempt number of the dispatch of the request, from 1
 */
public record SequenceId(Incarnation owner, RequestId request, int attempt) {}
