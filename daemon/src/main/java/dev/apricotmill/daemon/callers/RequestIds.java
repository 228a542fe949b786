package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.RequestId;
import java.time.InstantSource;
import java.util.UUID;
import java.util.random.RandomGenerator;

/** Generates request identifiers: UUIDs of version 7 (RFC 9562), which sort by time. */
public final class RequestIds {

  private static final long VERSION_7_BITS = 0x7000L;
  private static final long VARIANT_BITS = 0x8000000000000000L;
  private static final int TIMESTAMP_SHIFT_BITS = 16;
  private static final long RANDOM_A_MASK = 0xFFFL;
  private static final long RANDOM_B_MASK = 0x3FFFFFFFFFFFFFFFL;

  private final InstantSource clock;
  private final RandomGenerator random;

  /** Creates a generator; {@code random} must be thread-safe. */
  public RequestIds(InstantSource clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  /** Returns a new identifier with the current time in milliseconds. */
  public RequestId next() {
    long high =
        (clock.millis() << TIMESTAMP_SHIFT_BITS)
            | VERSION_7_BITS
            | (random.nextLong() & RANDOM_A_MASK);
    long low = VARIANT_BITS | (random.nextLong() & RANDOM_B_MASK);
    return new RequestId(new UUID(high, low).toString());
  }
}
