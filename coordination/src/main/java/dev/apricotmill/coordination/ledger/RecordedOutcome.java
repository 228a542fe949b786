package dev.apricotmill.coordination.ledger;

import java.util.Arrays;

/**
 * The outcome of a request, which repeats of its key get.
 *
 * @param status a status whose meaning the caller defines
 * @param body at most {@link #MAX_BODY_BYTES}; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedOutcome(int status, byte[] body) {

  /** The maximum size of a body in bytes. */
  public static final int MAX_BODY_BYTES = 4 << 10;

  /** Checks the size of the body. */
  public RecordedOutcome {
    if (body.length > MAX_BODY_BYTES) {
      throw new IllegalArgumentException(
          "expected a recorded body of at most 4096 bytes, got " + body.length + " bytes");
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
