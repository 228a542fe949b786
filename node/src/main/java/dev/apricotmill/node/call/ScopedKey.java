package dev.apricotmill.node.call;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import dev.apricotmill.coordination.ledger.LedgerKey;
import dev.apricotmill.core.configuration.KeyPolicy;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.UUID;

/**
 * Derives the ledger key from a caller's key, so that keys of different customers and services
 * never collide.
 *
 * <p>A key with a creation time keeps it: the scoped key is also a version 7 UUID with the same
 * time, and its random bits are derived from the hash of customer, service and key.
 */
final class ScopedKey {

  private static final long TIME_AND_VERSION_MASK = 0xFFFF_FFFF_FFFF_F000L;
  private static final long VARIANT_MASK = 0x3FFF_FFFF_FFFF_FFFFL;
  private static final long VARIANT_BITS = 0x8000_0000_0000_0000L;
  private static final int TIMED_UUID_VERSION = 7;

  private ScopedKey() {}

  /** Returns the ledger key, empty if the caller's key does not have the required form. */
  static Optional<LedgerKey> of(
      CustomerId customer, ServiceName service, KeyPolicy.Form form, String key) {
    if (key.isEmpty() || key.length() > LedgerKey.MAX_LENGTH) {
      return Optional.empty();
    }
    HashCode hash =
        Hashing.sha256()
            .newHasher()
            .putString(customer.value(), StandardCharsets.UTF_8)
            .putChar('\n')
            .putString(service.value(), StandardCharsets.UTF_8)
            .putChar('\n')
            .putString(key, StandardCharsets.UTF_8)
            .hash();
    return form == KeyPolicy.Form.TIMED
        ? parseTimed(key).map(uuid -> scope(uuid, hash))
        : Optional.of(new LedgerKey(hash.toString()));
  }

  private static Optional<UUID> parseTimed(String key) {
    try {
      UUID uuid = UUID.fromString(key);
      boolean canonical = uuid.toString().equalsIgnoreCase(key);
      return canonical && uuid.version() == TIMED_UUID_VERSION
          ? Optional.of(uuid)
          : Optional.empty();
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  private static LedgerKey scope(UUID uuid, HashCode hash) {
    byte[] bytes = hash.asBytes();
    long first = Longs.fromByteArray(bytes);
    long second = Longs.fromByteArray(Arrays.copyOfRange(bytes, Longs.BYTES, 2 * Longs.BYTES));
    long high =
        (uuid.getMostSignificantBits() & TIME_AND_VERSION_MASK) | (first & ~TIME_AND_VERSION_MASK);
    long low = (second & VARIANT_MASK) | VARIANT_BITS;
    return new LedgerKey(new UUID(high, low).toString());
  }
}
