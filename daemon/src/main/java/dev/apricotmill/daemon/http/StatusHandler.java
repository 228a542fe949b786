package dev.apricotmill.daemon.http;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Serves readiness probes, and metrics at {@code /metrics}. */
public final class StatusHandler implements RequestHandler {

  private static final String TEXT = "text/plain";

  private final BooleanSupplier ready;
  private final Supplier<String> metrics;

  /**
   * Creates a handler.
   *
   * @param ready whether the process accepts requests
   * @param metrics the metrics in the text format of Prometheus
   */
  public StatusHandler(BooleanSupplier ready, Supplier<String> metrics) {
    this.ready = ready;
    this.metrics = metrics;
  }

  @Override
  public void handle(IncomingRequest request, ResponseSender reply) {
    if (request.path().equals("/metrics")) {
      reply.send(CompleteResponse.text(200, TEXT, metrics.get()));
      return;
    }
    boolean isReady = ready.getAsBoolean();
    reply.send(CompleteResponse.text(isReady ? 200 : 503, TEXT, isReady ? "ready" : "not ready"));
  }
}
