package dev.apricotmill.testhelpers.demo;

import java.time.InstantSource;
import java.util.UUID;
import java.util.random.RandomGenerator;

/** Makes idempotency keys that carry their creation time: UUID version 7 (RFC 9562). */
final class TimedKeys {

  private static final long VERSION_BITS = 0x7000L;
  private static final long VARIANT_BITS = 0x8000_0000_0000_0000L;

  private final InstantSource clock;
  private final RandomGenerator random;

  TimedKeys(InstantSource clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  String next() {
    long high = (clock.millis() << 16) | VERSION_BITS | (random.nextLong() & 0xFFF);
    long low = VARIANT_BITS | (random.nextLong() >>> 2);
    return new UUID(high, low).toString();
  }
}
