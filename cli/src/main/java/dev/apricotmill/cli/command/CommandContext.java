package dev.apricotmill.cli.command;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * What a command works with.
 *
 * @param environment the environment variables
 * @param connections the ways to the platform and to daemons
 * @param timing clock and scheduler
 * @param awaiter waits for calls
 * @param progress where progress lines go, apart from the report
 */
public record CommandContext(
    ImmutableMap<String, String> environment,
    Connections connections,
    Timing timing,
    Awaiter awaiter,
    PrintWriter progress) {

  /** Returns the value of a stage that completes normally. */
  public <T> T await(CompletionStage<T> stage) {
    return awaiter.await(stage);
  }

  /** Lets time pass. */
  public void pause(Duration duration) {
    CompletableFuture<Boolean> passed = new CompletableFuture<>();
    timing.schedule(duration, () -> passed.complete(true));
    awaiter.await(passed);
  }

  /** Prints a progress line at once. */
  public void progress(String line) {
    progress.println(line);
    progress.flush();
  }
}
