package dev.apricotmill.benchmarks.fleet;

import dev.apricotmill.core.configuration.EngineProfile;
import java.util.concurrent.TimeUnit;

/**
 * How one engine spends its time: a step reads up to a chunk of prompt tokens and generates one
 * token for each sequence that decodes.
 *
 * @param memoryTokens KV memory in tokens
 * @param prefillTokensPerSecond prompt tokens read a second while steps are full
 * @param chunkTokens prompt tokens read in one step at most
 * @param shortestStepNanos the time of a step that only decodes
 * @param sequenceNanos the time that each decoding sequence adds to a step
 * @param cachedPrefixes prefixes kept in the prefix cache
 * @param maximumSequences sequences in one batch
 */
public record EngineModel(
    long memoryTokens,
    double prefillTokensPerSecond,
    int chunkTokens,
    long shortestStepNanos,
    long sequenceNanos,
    int cachedPrefixes,
    int maximumSequences) {

  /** An engine whose memory holds less than half of the longest prompts. */
  public static final EngineModel STANDARD =
      new EngineModel(
          450_000,
          30_000,
          1_024,
          TimeUnit.MILLISECONDS.toNanos(18),
          TimeUnit.MICROSECONDS.toNanos(50),
          64,
          256);

  /** Returns what an operator would write into the configuration for such an engine. */
  public EngineProfile profile() {
    double decode = (double) TimeUnit.SECONDS.toNanos(1) / fullStepNanos();
    return new EngineProfile(memoryTokens, prefillTokensPerSecond, decode, maximumSequences);
  }

  /** Returns the time of a step that reads that many tokens beside decoding sequences. */
  public long stepNanos(long promptTokens, int decoding, double slowness) {
    double reading = promptTokens / prefillTokensPerSecond * (double) TimeUnit.SECONDS.toNanos(1);
    double step = Math.max((double) shortestStepNanos, reading) + (double) decoding * sequenceNanos;
    return (long) (step * slowness);
  }

  /** Returns the time in which an idle engine reads a prompt. */
  public long bareReadNanos(long promptTokens) {
    long full = promptTokens / chunkTokens;
    long rest = promptTokens % chunkTokens;
    return full * stepNanos(chunkTokens, 0, 1) + (rest > 0 ? stepNanos(rest, 0, 1) : 0);
  }

  /** Returns the engine time that a request costs when steps are full. */
  public double workSeconds(long promptTokens, int outputTokens) {
    return promptTokens / prefillTokensPerSecond
        + (double) outputTokens * sequenceNanos / TimeUnit.SECONDS.toNanos(1);
  }

  private long fullStepNanos() {
    return stepNanos(chunkTokens, 0, 1);
  }
}
