package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.coordination.time.Timing;
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
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import dev.apricotmill.testhelpers.peers.PendingReply;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Function;
import java.util.function.Supplier;

/** One client's port to a {@link FakeEngine}. */
final class FakeEnginePort implements ModelEngine {

  private final FakeEngine engine;
  private final Timing client;

  FakeEnginePort(FakeEngine engine, Timing client) {
    this.engine = engine;
    this.client = client;
  }

  @Override
  public Flow.Subscription generate(EngineRequest request, GenerationListener listener) {
    FakeStream stream = new FakeStream(engine, client, request, listener);
    stream.open();
    return stream;
  }

  @Override
  public CompletionStage<CancelResult> cancel(SequenceId sequence, Duration timeout) {
    return call(
        EngineOperation.CANCEL,
        timeout,
        () -> engine.core().cancel(sequence),
        failure -> CancelResult.UNANSWERED);
  }

  @Override
  public CompletionStage<EngineResult<EngineLoad>> load(Duration timeout) {
    return query(EngineOperation.LOAD, timeout, () -> Optional.of(engine.core().load()));
  }

  @Override
  public CompletionStage<EngineResult<HeldMemory>> heldMemory(Duration timeout) {
    return query(EngineOperation.HELD, timeout, () -> Optional.of(engine.core().held()));
  }

  @Override
  public CompletionStage<EngineResult<CacheEvents>> cacheEvents(
      long afterSequence, Duration timeout) {
    return query(
        EngineOperation.CACHE_EVENTS,
        timeout,
        () -> Optional.of(engine.core().cacheEvents(afterSequence)));
  }

  @Override
  public CompletionStage<EngineResult<ExportId>> exportCache(
      SequenceId sequence, Duration timeout) {
    return query(EngineOperation.EXPORT, timeout, () -> engine.core().exportCache(sequence));
  }

  @Override
  public CompletionStage<EngineResult<ImportAccepted>> importCache(
      String source, ExportId export, SequenceId sequence, Duration timeout) {
    return query(
        EngineOperation.IMPORT,
        timeout,
        () -> engine.core().importCache(export, sequence).map(ImportAccepted::new));
  }

  @Override
  public CompletionStage<CancelResult> releaseExport(ExportId export, Duration timeout) {
    return call(
        EngineOperation.RELEASE,
        timeout,
        () -> engine.core().releaseExport(export),
        failure -> CancelResult.UNANSWERED);
  }

  @Override
  public CompletionStage<OrderResult> order(EngineOrder order, Duration timeout) {
    return call(
        EngineOperation.ORDER,
        timeout,
        () -> engine.core().order(order),
        OrderResult.Unanswered::new);
  }

  private <T> CompletionStage<EngineResult<T>> query(
      EngineOperation operation, Duration timeout, Supplier<Optional<T>> effect) {
    return call(
        operation,
        timeout,
        () ->
            effect
                .get()
                .<EngineResult<T>>map(EngineResult.Success::new)
                .orElseGet(() -> new EngineResult.Failure<>(EngineFailure.ENGINE_ERROR)),
        EngineResult.Failure::new);
  }

  private <T> CompletionStage<T> call(
      EngineOperation operation,
      Duration timeout,
      Supplier<T> effect,
      Function<EngineFailure, T> whenFailed) {
    PendingReply<T> reply =
        new PendingReply<>(client, timeout, whenFailed.apply(EngineFailure.SILENT));
    engine.timing().schedule(engine.latency(), () -> serve(operation, effect, whenFailed, reply));
    return reply.stage();
  }

  private <T> void serve(
      EngineOperation operation,
      Supplier<T> effect,
      Function<EngineFailure, T> whenFailed,
      PendingReply<T> reply) {
    if (engine.link() == Link.SILENT) {
      return;
    }
    if (engine.link() == Link.REFUSING) {
      reply.reply(whenFailed.apply(EngineFailure.CONNECTION_LOST), engine.latency());
      return;
    }
    Fault fault = engine.faults().take(operation);
    if (fault == Fault.LOST_BEFORE_EFFECT) {
      return;
    }
    if (fault == Fault.REFUSED || fault == Fault.ERROR) {
      reply.reply(whenFailed.apply(EngineFailure.ENGINE_ERROR), engine.latency());
      return;
    }
    answer(effect.get(), fault, whenFailed, reply);
  }

  private <T> void answer(
      T value, Fault fault, Function<EngineFailure, T> whenFailed, PendingReply<T> reply) {
    Duration latency = engine.latency();
    switch (fault) {
      case LOST_AFTER_EFFECT, FROZEN -> {}
      case CUT, TRUNCATED -> reply.reply(whenFailed.apply(EngineFailure.CONNECTION_LOST), latency);
      case MALFORMED, OVERSIZE -> reply.reply(whenFailed.apply(EngineFailure.MALFORMED), latency);
      case LATE -> reply.reply(value, latency.plus(engine.lateness()));
      default -> reply.reply(value, latency);
    }
  }
}
