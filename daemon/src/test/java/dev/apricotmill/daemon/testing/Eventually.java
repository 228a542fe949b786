package dev.apricotmill.daemon.testing;

import java.util.function.BooleanSupplier;

/** Waits for a condition that another thread fulfils; the test's own timeout bounds the wait. */
public final class Eventually {

  private Eventually() {}

  /** Returns once the condition holds. */
  public static void holds(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("interrupted before the condition held");
      }
      Thread.onSpinWait();
    }
  }
}
