package dev.apricotmill.core.configuration;

import java.time.Instant;

/**
 * A planned stop of a VM, from the morning sheet or by an operator.
 *
 * @param machine the VM's name in the platform's list
 * @param from when no new work goes there
 * @param until when the VM may take work again
 */
public record PlannedStop(String machine, Instant from, Instant until) {

  /** Returns whether the stop is in force at {@code now}. */
  public boolean isActiveAt(Instant now) {
    return !now.isBefore(from) && now.isBefore(until);
  }
}
