package dev.apricotmill.core.engine;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * The sequences and exports that hold KV memory on an engine.
 *
 * @param sequences the sequences
 * @param exports the exports
 */
public record HeldMemory(ImmutableList<Sequence> sequences, ImmutableList<Export> exports) {

  /**
   * A sequence that holds memory.
   *
   * @param id its identifier
   * @param tokens its memory in tokens
   * @param remaining the time until its deadline, zero if the deadline has passed
   */
  public record Sequence(SequenceId id, long tokens, Duration remaining) {}

  /**
   * An export that holds memory.
   *
   * @param id its identifier
   * @param sequence the sequence whose KV cache was exported
   * @param tokens its memory in tokens
   * @param age the time since the export
   */
  public record Export(ExportId id, SequenceId sequence, long tokens, Duration age) {}
}
