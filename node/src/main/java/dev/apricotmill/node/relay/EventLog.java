package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;

/** Takes one structured line for each decision. Never blocks; lines over a bound are dropped. */
@FunctionalInterface
public interface EventLog {

  /** A log that keeps nothing. */
  EventLog NONE = (event, fields) -> {};

  /**
   * Writes a line.
   *
   * @param event what happened, such as {@code relay.sent}
   * @param fields the inputs of the decision and its outcome, in order
   */
  void write(String event, ImmutableMap<String, Object> fields);
}
