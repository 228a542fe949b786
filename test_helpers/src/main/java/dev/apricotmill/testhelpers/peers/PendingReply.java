package dev.apricotmill.testhelpers.peers;

import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;

/**
 * A reply that a simulated caller waits for, completed on the caller's scheduler: by the first
 * reply, or when the time runs out.
 *
 * @param <T> the reply
 */
public final class PendingReply<T> {

  private final Timing caller;
  private final CompletableFuture<T> result = new CompletableFuture<>();

  /** Creates a reply that completes with {@code whenSilent} after {@code timeout}. */
  public PendingReply(Timing caller, Duration timeout, T whenSilent) {
    this.caller = caller;
    Future<?> task = caller.schedule(timeout, () -> result.complete(whenSilent));
    result.whenComplete((value, failure) -> task.cancel(false));
  }

  /** Delivers the reply after {@code delay}. */
  public void reply(T value, Duration delay) {
    caller.schedule(delay, () -> result.complete(value));
  }

  /** Returns what the caller waits for. */
  public CompletionStage<T> stage() {
    return result;
  }
}
