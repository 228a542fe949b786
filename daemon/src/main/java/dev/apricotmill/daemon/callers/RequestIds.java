package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.RequestId;
import java.time.InstantSource;
import java.util.UUID;
import java.util.random.RandomGenerator;

/** Makes request identifiers: UUIDs of version 7 (RFC 9562), which sort by time. */
public final class RequestIds {

  private static final long VERSION_7 = 0x7000L;
  private static final long VARIANT = 0x8000000000000000L;
  private static final int TIME_SHIFT = 16;
  private static final long RANDOM_A_MASK = 0xFFFL;
  private static final long RANDOM_B_MASK = 0x3FFFFFFFFFFFFFFFL;

  private final InstantSource clock;
  private final RandomGenerator random;

  /** Creates a source of identifiers; {@code random} must be safe for use by several threads. */
  public RequestIds(InstantSource clock, RandomGenerator random) {
    this.clock = clock;
    this.random = random;
  }

  /** Returns a new identifier. */
  public RequestId next() {
    long high = (clock.millis() << TIME_SHIFT) | VERSION_7 | (random.nextLong() & RANDOM_A_MASK);
    long low = VARIANT | (random.nextLong() & RANDOM_B_MASK);
    return new RequestId(new UUID(high, low).toString());
  }
}
