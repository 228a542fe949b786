package dev.apricotmill.core.engine;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Client interface to one model engine.
 *
 * <p>The returned stages complete within their timeout and never complete exceptionally.
 */
public interface ModelEngine {

  /**
   * Starts a sequence. The listener receives at most as many chunks as were requested on the
   * subscription. Cancelling the subscription stops the stream, prevents further calls to the
   * listener, and frees the sequence on the engine if the cancellation reaches it.
   */
  Flow.Subscription generate(EngineRequest request, GenerationListener listener);

  /** Cancels a sequence and frees its memory. */
  CompletionStage<CancelResult> cancel(SequenceId sequence, Duration timeout);

  /** Reads the engine's load report, which lags behind its actual load. */
  CompletionStage<EngineResult<EngineLoad>> load(Duration timeout);

  /** Lists the sequences and exports that hold memory on the engine. */
  CompletionStage<EngineResult<HeldMemory>> heldMemory(Duration timeout);

  /** Reads the prefix cache events after {@code afterSequence}; events may be missing. */
  CompletionStage<EngineResult<CacheEvents>> cacheEvents(long afterSequence, Duration timeout);

  /** Exports the KV cache of a sequence; the export holds memory until it is released. */
  CompletionStage<EngineResult<ExportId>> exportCache(SequenceId sequence, Duration timeout);

  /** Imports an export of the engine at {@code source} for a sequence about to be resumed here. */
  CompletionStage<EngineResult<ImportAccepted>> importCache(
      String source, ExportId export, SequenceId sequence, Duration timeout);

  /** Releases an export that is no longer wanted. */
  CompletionStage<CancelResult> releaseExport(ExportId export, Duration timeout);

  /** Sends a target state: the model, version and adapters to load, and the role. */
  CompletionStage<OrderResult> order(EngineOrder order, Duration timeout);
}
