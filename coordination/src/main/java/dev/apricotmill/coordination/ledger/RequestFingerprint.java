package dev.apricotmill.coordination.ledger;

import com.google.common.hash.Hashing;

/**
 * Tells whether two requests under one key are the same.
 *
 * @param text half a SHA-256 in hexadecimal digits
 */
public record RequestFingerprint(String text) {

  private static final int HEX_DIGITS = 32;

  /** Returns the fingerprint of a request's bytes. */
  public static RequestFingerprint of(byte[] request) {
    return new RequestFingerprint(
        Hashing.sha256().hashBytes(request).toString().substring(0, HEX_DIGITS));
  }
}
