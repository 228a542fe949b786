package dev.apricotmill.coordination.time;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Delays asynchronous operations. */
public final class Delays {

  private Delays() {}

  /** Runs {@code step} after {@code delay}; the stage completes with the result of the step. */
  public static <T> CompletionStage<T> after(
      Timing timing, Duration delay, Supplier<CompletionStage<T>> step) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    timing.schedule(delay, () -> elapsed.complete(null));
    return elapsed.thenCompose(ignored -> step.get());
  }
}
