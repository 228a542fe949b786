package dev.apricotmill.testhelpers.demo;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions of other processes. */
final class Waiting {

  private static final long POLL_MILLIS = 100;

  private Waiting() {}

  /** Returns whether a condition held within a time. */
  static boolean until(Duration patience, BooleanSupplier condition) {
    long deadline = System.nanoTime() + patience.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        return false;
      }
      pause(POLL_MILLIS);
    }
    return true;
  }

  /** Pauses the calling thread. */
  static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
    }
  }
}
