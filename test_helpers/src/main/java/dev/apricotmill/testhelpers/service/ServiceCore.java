package dev.apricotmill.testhelpers.service;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.service.CallResult;
import java.util.ArrayList;
import java.util.List;

/**
 * The model of a plain service without sockets: it executes every call that reaches it, also a
 * repeated one, and notes it.
 */
public final class ServiceCore {

  private static final String KEY_HEADER = "idempotency-key";

  private final Timing timing;
  private final List<ServiceLogEntry> log = new ArrayList<>();

  /** Creates a service that has executed nothing. */
  public ServiceCore(Timing timing) {
    this.timing = timing;
  }

  /** Executes a call at a replica and returns its answer. */
  public synchronized CallResult.Response execute(
      String replica,
      String requestId,
      String method,
      String path,
      ImmutableMap<String, String> headers) {
    ServiceOperation operation = ServiceOperation.ofMethod(method);
    log.add(
        new ServiceLogEntry(
            timing.nanoTime(),
            operation,
            replica,
            requestId,
            headers.getOrDefault(KEY_HEADER, ""),
            method,
            path));
    String body =
        String.format(
            "{\"operation\":\"%s\",\"orders\":%d,\"replica\":\"%s\"}",
            operation, orders(), replica);
    return new CallResult.Response(
        operation == ServiceOperation.READ ? 200 : 201,
        ImmutableMap.of("content-type", "application/json"),
        body.getBytes(UTF_8));
  }

  /** Returns how many orders were executed in all. */
  public synchronized long orders() {
    return log.stream().filter(entry -> entry.operation() == ServiceOperation.ORDER).count();
  }

  /** Returns how many orders with a key were executed. */
  public synchronized long ordersWithKey(String idempotencyKey) {
    return log.stream()
        .filter(entry -> entry.operation() == ServiceOperation.ORDER)
        .filter(entry -> entry.idempotencyKey().equals(idempotencyKey))
        .count();
  }

  /** Returns how many calls with a request's identifier were executed. */
  public synchronized long executionsOf(String requestId) {
    return log.stream().filter(entry -> entry.requestId().equals(requestId)).count();
  }

  /** Returns what was executed, oldest first. */
  public synchronized ImmutableList<ServiceLogEntry> log() {
    return ImmutableList.copyOf(log);
  }
}
