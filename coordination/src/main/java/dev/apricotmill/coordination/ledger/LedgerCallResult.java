package dev.apricotmill.coordination.ledger;

import java.util.Arrays;

/** What came back from a peer that was asked to use the ledger. */
public sealed interface LedgerCallResult {

  /**
   * The peer answered.
   *
   * @param value the encoded answer; not to be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Answered(byte[] value) implements LedgerCallResult {

    @Override
    public boolean equals(Object other) {
      return other instanceof Answered that && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(value);
    }
  }

  /** No answer came in time; the peer may still act. */
  record NoAnswer() implements LedgerCallResult {}
}
