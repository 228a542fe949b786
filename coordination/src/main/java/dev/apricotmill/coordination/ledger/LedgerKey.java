package dev.apricotmill.coordination.ledger;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * A caller's idempotency key.
 *
 * <p>A UUID of version 7 (RFC 9562) contains its creation time, from which the ledger tells whether
 * a claim of the key may already have been dropped. All other keys are opaque.
 *
 * @param text the key, in lower case if it is a UUID
 */
public record LedgerKey(String text) {

  /** The maximum length of a key in characters. */
  public static final int MAX_LENGTH = 200;

  private static final int UUID_LENGTH = 36;
  private static final int UNIX_TIME_UUID_VERSION = 7;
  private static final int TIMESTAMP_SHIFT_BITS = 16;

  /** Checks the length and converts UUIDs to lower case. */
  public LedgerKey {
    if (text.isEmpty() || text.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "idempotency key must have 1 to 200 characters, got " + text.length());
    }
    text = isUuid(text) ? text.toLowerCase(Locale.ROOT) : text;
  }

  /**
   * Returns the creation time of a version 7 UUID in milliseconds since the epoch, empty for any
   * other key.
   */
  public OptionalLong creationMillis() {
    if (!isUuid(text)) {
      return OptionalLong.empty();
    }
    UUID uuid = UUID.fromString(text);
    return uuid.version() == UNIX_TIME_UUID_VERSION
        ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
        : OptionalLong.empty();
  }

  private static boolean isUuid(String text) {
    if (text.length() != UUID_LENGTH) {
      return false;
    }
    try {
      return UUID.fromString(text).toString().equalsIgnoreCase(text);
    } catch (IllegalArgumentException opaque) {
      return false;
    }
  }

  @Override
  public String toString() {
    return text;
  }
}
