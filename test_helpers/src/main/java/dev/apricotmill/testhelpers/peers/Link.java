package dev.apricotmill.testhelpers.peers;

/** The state of a way between two simulated processes. */
public enum Link {
  /** Messages arrive. */
  UP,
  /** Connections are refused at once. */
  REFUSING,
  /** Messages vanish without a sign. */
  SILENT
}
