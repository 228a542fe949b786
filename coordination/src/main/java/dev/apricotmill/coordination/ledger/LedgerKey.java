package dev.apricotmill.coordination.ledger;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * A caller's idempotency key.
 *
 * <p>A UUID of version 7 (RFC 9562) carries its own creation time, which settles whether the ledger
 * still remembers it. All other keys are opaque.
 *
 * @param text the key; a UUID in lower case
 */
public record LedgerKey(String text) {

  /** The longest key in characters. */
  public static final int MAX_LENGTH = 200;

  private static final int UUID_LENGTH = 36;
  private static final int UNIX_TIME_UUID_VERSION = 7;
  private static final int TIMESTAMP_SHIFT_BITS = 16;

  /** Checks the length and brings UUIDs into lower case. */
  public LedgerKey {
    if (text.isEmpty() || text.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("an idempotency key has 1 to 200 characters");
    }
    text = isUuid(text) ? text.toLowerCase(Locale.ROOT) : text;
  }

  /** Returns the creation time that the key carries, in milliseconds since the epoch. */
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
