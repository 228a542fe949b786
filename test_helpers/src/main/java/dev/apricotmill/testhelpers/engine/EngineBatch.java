package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.core.configuration.EngineProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the work of one step of continuous batching: one token for each sequence that decodes,
 * and a bounded number of prompt tokens in order of priority.
 */
final class EngineBatch {

  private static final long PREFILL_TOKENS_PER_STEP = 2048;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Prompt tokens that a sequence reads in a step. */
  record Prefill(RunningSequence sequence, long tokens) {}

  private final List<RunningSequence> decoding = new ArrayList<>();
  private final List<Prefill> prefills = new ArrayList<>();
  private long prefillTokens;

  private EngineBatch() {}

  /** Returns the next step's work among all sequences that the engine holds. */
  static EngineBatch choose(Collection<RunningSequence> sequences, EngineProfile profile) {
    EngineBatch batch = new EngineBatch();
    sequences.stream()
        .sorted(
            Comparator.comparing(RunningSequence::isDecoding)
                .reversed()
                .thenComparing(RunningSequence::priority)
                .thenComparing(RunningSequence::arrival))
        .limit(profile.maximumSequences())
        .forEach(batch::add);
    return batch;
  }

  private void add(RunningSequence sequence) {
    if (sequence.isDecoding()) {
      decoding.add(sequence);
      return;
    }
    long tokens = Math.min(sequence.prefillLeft(), PREFILL_TOKENS_PER_STEP - prefillTokens);
    if (tokens > 0) {
      prefills.add(new Prefill(sequence, tokens));
      prefillTokens += tokens;
    }
  }

  boolean isEmpty() {
    return decoding.isEmpty() && prefills.isEmpty();
  }

  List<RunningSequence> decoding() {
    return decoding;
  }

  List<Prefill> prefills() {
    return prefills;
  }

  Duration duration(EngineProfile profile) {
    double seconds = prefillTokens / profile.prefillTokensPerSecond();
    if (!decoding.isEmpty()) {
      seconds += 1 / profile.decodeTokensPerSecond();
    }
    return Duration.ofNanos(Math.max(1, (long) (seconds * NANOS_PER_SECOND)));
  }
}
