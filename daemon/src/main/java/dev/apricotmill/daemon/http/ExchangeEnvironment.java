package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.time.Timing;
import java.util.concurrent.Executor;

/**
 * What all exchanges of a server share.
 *
 * @param limits the bounds
 * @param handler answers the requests
 * @param workers run the handler
 * @param budget bounds the bodies
 * @param connections the open connections
 * @param timing runs the time limits
 */
record ExchangeEnvironment(
    ServerLimits limits,
    RequestHandler handler,
    Executor workers,
    BodyBudget budget,
    ConnectionTable connections,
    Timing timing) {}
