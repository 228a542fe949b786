package dev.apricotmill.coordination.time;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Starts asynchronous steps after a delay. */
public final class Delays {

  private Delays() {}

  /** Returns a stage that runs {@code step} after {@code delay} and completes as it does. */
  public static <T> CompletionStage<T> after(
      Timing timing, Duration delay, Supplier<CompletionStage<T>> step) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    timing.schedule(delay, () -> elapsed.complete(null));
    return elapsed.thenCompose(ignored -> step.get());
  }
}
