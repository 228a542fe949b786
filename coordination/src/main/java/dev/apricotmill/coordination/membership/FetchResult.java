package dev.apricotmill.coordination.membership;

import java.util.Arrays;

/** The answer to fetching a part from a peer. */
public sealed interface FetchResult {

  /**
   * The peer has the part.
   *
   * @param value the bytes, still to be checked against the part's hash; not to be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Fetched(byte[] value) implements FetchResult {

    @Override
    public boolean equals(Object other) {
      return other instanceof Fetched that && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(value);
    }
  }

  /** The peer answered that it does not have the part. */
  record NotFound() implements FetchResult {}

  /** No answer came in time. */
  record NoAnswer() implements FetchResult {}
}
