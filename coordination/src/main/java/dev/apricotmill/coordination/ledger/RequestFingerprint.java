package dev.apricotmill.coordination.ledger;

import com.google.common.hash.Hashing;

/**
 * A hash of a request, by which the ledger detects that a key is reused for another request.
 *
 * @param text the first half of the SHA-256 hash in hexadecimal digits
 */
public record RequestFingerprint(String text) {

  private static final int HEX_DIGITS = 32;

  /** Returns the fingerprint of a request's bytes. */
  public static RequestFingerprint of(byte[] request) {
    return new RequestFingerprint(
        Hashing.sha256().hashBytes(request).toString().substring(0, HEX_DIGITS));
  }
}
