package dev.apricotmill.testhelpers.engine;

import dev.apricotmill.core.engine.SequenceId;
import java.util.Optional;

/**
 * Something that really happened at a stand-in engine.
 *
 * @param atNanos when, on the engine's monotonic clock
 * @param kind what
 * @param sequence the sequence, if one is concerned
 * @param tokens the memory in tokens, or the fencing number of an order
 */
public record EngineLogEntry(long atNanos, Kind kind, Optional<SequenceId> sequence, long tokens) {

  /** What happened. */
  public enum Kind {
    /** A sequence took memory and waits or runs. */
    STARTED,
    /** A sequence generated its first token of this attempt. */
    FIRST_TOKEN,
    /** A sequence ended by itself and freed its memory. */
    FINISHED,
    /** A sequence was cancelled and freed its memory. */
    CANCELLED,
    /** An export took memory. */
    EXPORTED,
    /** An import took memory. */
    IMPORTED,
    /** An export or import freed its memory. */
    RELEASED,
    /** An order was obeyed. */
    ORDER_OBEYED,
    /** An order was refused because of its fencing number. */
    ORDER_FENCED,
    /** The engine died and lost all it held. */
    DIED
  }
}
