package dev.apricotmill.daemon.testing;

import java.util.function.BooleanSupplier;

/** Waits for what another thread brings about; a test's time limit ends a wait in vain. */
public final class Eventually {

  private Eventually() {}

  /** Returns once the condition holds. */
  public static void holds(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      if (Thread.interrupted()) {
        throw new InterruptedException("gave up waiting");
      }
      Thread.onSpinWait();
    }
  }
}
