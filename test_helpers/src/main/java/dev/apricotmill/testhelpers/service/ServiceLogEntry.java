package dev.apricotmill.testhelpers.service;

/**
 * A call that a stand-in service really executed.
 *
 * @param atNanos when, on the service's monotonic clock
 * @param operation a read or an order
 * @param replica the replica that executed it
 * @param requestId the request's identifier, empty if none came
 * @param idempotencyKey the caller's key, empty if none came
 * @param method the HTTP method
 * @param path the path and query
 */
public record ServiceLogEntry(
    long atNanos,
    ServiceOperation operation,
    String replica,
    String requestId,
    String idempotencyKey,
    String method,
    String path) {}
