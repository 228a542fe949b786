package dev.apricotmill.core.engine;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * The port to one model engine.
 *
 * <p>Stages complete normally within their timeout and never exceptionally.
 */
public interface ModelEngine {

  /**
   * Starts a sequence. No more chunks than requested on the subscription are passed to the
   * listener; cancelling it stops the stream, frees the sequence on the engine if the engine hears
   * of it, and lets no further call reach the listener.
   */
  Flow.Subscription generate(EngineRequest request, GenerationListener listener);

  /** Cancels a sequence and frees its memory. */
  CompletionStage<CancelResult> cancel(SequenceId sequence, Duration timeout);

  /** Reads the engine's load report, which lags. */
  CompletionStage<EngineResult<EngineLoad>> load(Duration timeout);

  /** Lists the sequences and exports that hold memory on the engine. */
  CompletionStage<EngineResult<HeldMemory>> heldMemory(Duration timeout);

  /** Reads the prefix cache events after {@code afterSequence}; there may be gaps. */
  CompletionStage<EngineResult<CacheEvents>> cacheEvents(long afterSequence, Duration timeout);

  /** Exports the KV cache of a sequence; the export holds memory until it is released. */
  CompletionStage<EngineResult<ExportId>> exportCache(SequenceId sequence, Duration timeout);

  /** Imports an export of the engine at {@code source} for a sequence about to be resumed here. */
  CompletionStage<EngineResult<ImportAccepted>> importCache(
      String source, ExportId export, SequenceId sequence, Duration timeout);

  /** Releases an export that is no longer wanted. */
  CompletionStage<CancelResult> releaseExport(ExportId export, Duration timeout);

  /** Orders a target state: loaded model, adapter, version or role. */
  CompletionStage<OrderResult> order(EngineOrder order, Duration timeout);
}
