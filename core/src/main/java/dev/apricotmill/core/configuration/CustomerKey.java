package dev.apricotmill.core.configuration;

import com.google.common.base.CharMatcher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Checks customers' keys and hashes them; the configuration stores only the hash. */
public final class CustomerKey {
  /** Minimum length of a key; shorter ones could be guessed from their hash. */
  public static final int MINIMUM_LENGTH = 16;

  private static final int MAXIMUM_LENGTH = 512;
  private static final CharMatcher PRINTABLE = CharMatcher.inRange('!', '~');

  private CustomerKey() {}

  /** Returns the SHA-256 of a key in lower-case hexadecimal. */
  public static String hash(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /** Returns whether the length of a key is allowed and the key can be sent in an HTTP header. */
  public static boolean isStrongEnough(String key) {
    return key.length() >= MINIMUM_LENGTH
        && key.length() <= MAXIMUM_LENGTH
        && PRINTABLE.matchesAllOf(key);
  }
}
