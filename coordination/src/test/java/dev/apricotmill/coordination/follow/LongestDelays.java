package dev.apricotmill.coordination.follow;

import java.util.random.RandomGenerator;

/** Draws the largest number of each range. */
final class LongestDelays implements RandomGenerator {

  @Override
  public long nextLong() {
    return Long.MAX_VALUE;
  }

  @Override
  public long nextLong(long origin, long bound) {
    return bound - 1;
  }
}
