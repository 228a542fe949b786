package dev.apricotmill.coordination.ledger;

import java.time.Instant;
import java.util.UUID;

/** Creates keys that are UUIDs of version 7. */
final class TimestampedKeys {

  private static final long VERSION_BITS = 0x7000L;
  private static final long VARIANT_BITS = 0x8000000000000000L;

  private TimestampedKeys() {}

  static LedgerKey at(Instant created, long number) {
    long high = created.toEpochMilli() << 16 | VERSION_BITS;
    return new LedgerKey(new UUID(high, VARIANT_BITS | number).toString());
  }
}
