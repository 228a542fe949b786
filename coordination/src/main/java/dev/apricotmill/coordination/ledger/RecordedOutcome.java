package dev.apricotmill.coordination.ledger;

import java.util.Arrays;

/**
 * The outcome of a request as a repeat of its key gets it.
 *
 * @param status the status, whose meaning is the caller's
 * @param body the bytes, at most {@link #MAX_BODY_BYTES}; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedOutcome(int status, byte[] body) {

  /** The largest body in bytes. */
  public static final int MAX_BODY_BYTES = 4 << 10;

  /** Checks the size of the body. */
  public RecordedOutcome {
    if (body.length > MAX_BODY_BYTES) {
      throw new IllegalArgumentException("recorded body of " + body.length + " bytes");
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RecordedOutcome that
        && status == that.status
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * status + Arrays.hashCode(body);
  }
}
