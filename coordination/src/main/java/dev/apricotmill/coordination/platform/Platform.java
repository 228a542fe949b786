package dev.apricotmill.coordination.platform;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The client interface of the platform's object store, which holds all durable state.
 *
 * <p>Every call completes normally with a typed result within {@code timeout}, which bounds the
 * beginning of a list's result but not its transfer; a stage never completes exceptionally. Each
 * call counts against the platform's rate limits; a watch counts as one call, however long it
 * waits.
 */
public interface Platform {

  /** The maximum size of an object's value in bytes. */
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

  /** Waits at most {@code maxWait} for a change under {@code prefix} after {@code revision}. */
  CompletionStage<WatchResult> watch(String prefix, long revision, Duration maxWait);

  /** Reads the list of entry VMs and backend servers, which may be out of date. */
  CompletionStage<MachineListResult> machines(Duration timeout);
}
