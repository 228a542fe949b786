package dev.apricotmill.coordination.ledger;

import java.util.Arrays;

/** The result of a request to the ledger of a peer. */
public sealed interface LedgerCallResult {

  /**
   * The peer sent a response.
   *
   * @param value the encoded response; must not be modified
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

  /** No response came within the timeout; the peer may still process the request. */
  record NoAnswer() implements LedgerCallResult {}
}
