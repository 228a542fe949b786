package dev.apricotmill.core.request;

/** Priority of a customer's requests. */
public enum Priority {
  /** Served before all others. */
  HIGH(4),
  /** The usual priority. */
  NORMAL(2),
  /** Served with the capacity that the others leave, but never starved. */
  LOW(1);

  private final int shareFactor;

  Priority(int shareFactor) {
    this.shareFactor = shareFactor;
  }

  /** Returns the factor by which this priority multiplies a customer's weight. */
  public int shareFactor() {
    return shareFactor;
  }
}
