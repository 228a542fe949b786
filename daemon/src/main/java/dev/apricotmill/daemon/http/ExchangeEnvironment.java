package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.time.Timing;
import java.util.concurrent.Executor;

/**
 * The objects that all exchanges of a server share.
 *
 * @param limits the limits of the server
 * @param handler handles the requests
 * @param workers runs the handler
 * @param budget bounds the memory for request bodies of this server
 * @param memory bounds the memory for all clients of the process
 * @param connections the open connections
 * @param timing runs the timeouts
 */
record ExchangeEnvironment(
    ServerLimits limits,
    RequestHandler handler,
    Executor workers,
    BufferBudget budget,
    CallerMemory memory,
    ConnectionTable connections,
    Timing timing) {}
