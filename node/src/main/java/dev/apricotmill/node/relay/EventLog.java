package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;

/** A structured log, one line for each decision. Never blocks; drops lines beyond a limit. */
@FunctionalInterface
public interface EventLog {

  /** A log that discards all lines. */
  EventLog NONE = (event, fields) -> {};

  /**
   * Writes a line.
   *
   * @param event the name of the event, such as {@code relay.sent}
   * @param fields the inputs of the decision and its outcome, in order
   */
  void write(String event, ImmutableMap<String, Object> fields);
}
