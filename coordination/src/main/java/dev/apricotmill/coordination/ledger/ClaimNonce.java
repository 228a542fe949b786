package dev.apricotmill.coordination.ledger;

import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * Identifies one attempt to claim a key; the trace by which a lost answer is resolved.
 *
 * @param text the unique text
 */
public record ClaimNonce(String text) {

  /** Returns a fresh nonce. */
  public static ClaimNonce next(RandomGenerator random) {
    return new ClaimNonce(new UUID(random.nextLong(), random.nextLong()).toString());
  }
}
