package dev.apricotmill.coordination.membership;

import java.util.Arrays;

/** The result of fetching a part of the configuration from a peer. */
public sealed interface FetchResult {

  /**
   * The peer has the part.
   *
   * @param value the bytes, not yet checked against the part's hash; must not be modified
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

  /** The peer does not have the part. */
  record NotFound() implements FetchResult {}

  /** No usable response arrived before the timeout. */
  record NoAnswer() implements FetchResult {}
}
