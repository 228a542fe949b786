package dev.apricotmill.coordination.ledger;

import java.util.UUID;
import java.util.random.RandomGenerator;

/**
 * Identifies one attempt to claim a key. After a lost response, the nonce in the stored claim shows
 * whether the attempt succeeded.
 *
 * @param text a random UUID
 */
public record ClaimNonce(String text) {

  /** Returns a new random nonce. */
  public static ClaimNonce next(RandomGenerator random) {
    return new ClaimNonce(new UUID(random.nextLong(), random.nextLong()).toString());
  }
}
