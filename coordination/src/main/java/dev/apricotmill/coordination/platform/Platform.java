package dev.apricotmill.coordination.platform;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The port to the platform's object store, which holds all that must last.
 *
 * <p>Every call completes normally with a typed result within {@code timeout}; a stage never
 * completes exceptionally. Each call counts against the platform's rates, a waiting watch as one.
 */
public interface Platform {

  /** The largest value of one object in bytes. */
  int MAX_VALUE_BYTES = 1 << 20;

  /** Reads one object. */
  CompletionStage<ReadResult> get(ObjectKey key, Duration timeout);

  /** Lists the objects whose path begins with {@code prefix}. */
  CompletionStage<ListResult> list(String prefix, Duration timeout);

  /** Writes an object if {@code precondition} holds. */
  CompletionStage<WriteResult> put(
      ObjectKey key, byte[] value, Precondition precondition, Duration timeout);

  /** Deletes an object if {@code precondition} holds; {@code Written} carries the revision. */
  CompletionStage<WriteResult> delete(ObjectKey key, Precondition precondition, Duration timeout);

  /** Waits up to {@code wait} for a change under {@code prefix} after {@code revision}. */
  CompletionStage<WatchResult> watch(String prefix, long revision, Duration maxWait);

  /** Reads the lagging list of entry VMs and backend servers. */
  CompletionStage<MachineListResult> machines(Duration timeout);
}
