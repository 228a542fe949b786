package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.CacheEvents;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineLoad;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineResult;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.ImportAccepted;
import dev.apricotmill.core.engine.ModelEngine;
import dev.apricotmill.core.engine.OrderResult;
import dev.apricotmill.core.engine.SequenceId;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Function;

/** Calls one model engine over HTTP/1.1; streams are server-sent events. */
public final class HttpModelEngine implements ModelEngine {

  private static final String REQUEST_ID_HEADER = "apricotmill-request-id";
  private static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClients clients;
  private final PeerAddress engine;

  /** Creates the adapter for the engine that listens at {@code engine}. */
  public HttpModelEngine(HttpClients clients, PeerAddress engine) {
    this.clients = clients;
    this.engine = engine;
  }

  @Override
  public Flow.Subscription generate(EngineRequest request, GenerationListener listener) {
    GenerationExchange exchange =
        new GenerationExchange(
            engine, request, listener, () -> cancel(request.sequence(), CANCEL_TIMEOUT));
    clients.start(exchange, request.timeLimit());
    return exchange.subscription();
  }

  @Override
  public CompletionStage<CancelResult> cancel(SequenceId sequence, Duration timeout) {
    byte[] body = Json.write(new EngineMessages.SequenceCall(EngineMessages.Sequence.of(sequence)));
    return release("/cancel", body, timeout);
  }

  @Override
  public CompletionStage<CancelResult> releaseExport(ExportId export, Duration timeout) {
    byte[] body = Json.write(new EngineMessages.ExportCall(export.value()));
    return release("/cache/release", body, timeout);
  }

  private CompletionStage<CancelResult> release(String path, byte[] body, Duration timeout) {
    return call(
            post(path, body),
            timeout,
            EngineMessages.Released.class,
            response -> response.released() ? CancelResult.RELEASED : CancelResult.NOT_HELD)
        .thenApply(
            result ->
                result instanceof EngineResult.Success<CancelResult> success
                    ? success.value()
                    : CancelResult.UNANSWERED);
  }

  @Override
  public CompletionStage<EngineResult<EngineLoad>> load(Duration timeout) {
    return call(
        HttpCall.get("/load"), timeout, EngineMessages.Load.class, EngineMessages.Load::toLoad);
  }

  @Override
  public CompletionStage<EngineResult<HeldMemory>> heldMemory(Duration timeout) {
    return call(
        HttpCall.get("/sequences"),
        timeout,
        EngineMessages.Held.class,
        EngineMessages.Held::toHeldMemory);
  }

  @Override
  public CompletionStage<EngineResult<CacheEvents>> cacheEvents(
      long afterSequence, Duration timeout) {
    return call(
        HttpCall.get("/cache/events?after=" + afterSequence),
        timeout,
        EngineMessages.CacheEventPage.class,
        EngineMessages.CacheEventPage::toEvents);
  }

  @Override
  public CompletionStage<EngineResult<ExportId>> exportCache(
      SequenceId sequence, Duration timeout) {
    byte[] body = Json.write(new EngineMessages.SequenceCall(EngineMessages.Sequence.of(sequence)));
    return call(
        post("/cache/export", body),
        timeout,
        EngineMessages.ExportCall.class,
        response -> new ExportId(response.export()));
  }

  @Override
  public CompletionStage<EngineResult<ImportAccepted>> importCache(
      String source, ExportId export, SequenceId sequence, Duration timeout) {
    byte[] body =
        Json.write(
            new EngineMessages.ImportCall(
                source, export.value(), EngineMessages.Sequence.of(sequence)));
    return call(
        post("/cache/import", body),
        timeout,
        EngineMessages.Imported.class,
        response -> new ImportAccepted(response.tokens()));
  }

  @Override
  public CompletionStage<OrderResult> order(EngineOrder order, Duration timeout) {
    byte[] body = Json.write(EngineMessages.Order.of(order));
    return clients
        .send(engine, post("/orders", body), MAXIMUM_RESPONSE_BYTES, timeout)
        .thenApply(HttpModelEngine::orderResult);
  }

  private static OrderResult orderResult(ExchangeResult result) {
    if (result instanceof ExchangeResult.Response response) {
      if (response.isSuccess()) {
        return new OrderResult.Accepted();
      }
      Optional<EngineMessages.Fence> fence = Json.read(response.body(), EngineMessages.Fence.class);
      if (response.status() == 409 && fence.isPresent()) {
        return new OrderResult.Fenced(fence.get().highestSeen());
      }
    }
    return new OrderResult.Unanswered(failureOf(result));
  }

  /**
   * Returns a call on a connection of its own: the second response to another one would be taken
   * for its response, and a second refusal of it for the refusal of the next sequence.
   */
  static HttpCall post(String path, byte[] body) {
    return HttpCall.post(path, body).withExchangeId(ExchangeId.notNamedIn(REQUEST_ID_HEADER, path));
  }

  private <M, R> CompletionStage<EngineResult<R>> call(
      HttpCall call, Duration timeout, Class<M> type, Function<M, R> conversion) {
    return clients
        .send(engine, call, MAXIMUM_RESPONSE_BYTES, timeout)
        .thenApply(
            result -> {
              if (!(result instanceof ExchangeResult.Response response) || !response.isSuccess()) {
                return new EngineResult.Failure<>(failureOf(result));
              }
              return Json.read(response.body(), type)
                  .flatMap(message -> Conversions.attempt(() -> conversion.apply(message)))
                  .<EngineResult<R>>map(EngineResult.Success::new)
                  .orElseGet(() -> new EngineResult.Failure<>(EngineFailure.MALFORMED));
            });
  }

  private static EngineFailure failureOf(ExchangeResult result) {
    if (result instanceof ExchangeResult.NotSent notSent) {
      return failureOf(notSent.failure());
    }
    if (result instanceof ExchangeResult.Interrupted interrupted) {
      return failureOf(interrupted.failure());
    }
    return EngineFailure.ENGINE_ERROR;
  }

  static EngineFailure failureOf(ExchangeFailure failure) {
    return switch (failure) {
      case CONNECTION_LOST -> EngineFailure.CONNECTION_LOST;
      case TIMEOUT, INCOMPLETE -> EngineFailure.SILENT;
      case OVERSIZE, MALFORMED -> EngineFailure.MALFORMED;
    };
  }
}
