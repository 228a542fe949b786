package dev.apricotmill.core.configuration;

import java.time.Instant;

/**
 * A planned stop of a VM, from the daily sheet or from an operator.
 *
 * @param machine the VM's name in the platform's list
 * @param from when the VM stops getting new work
 * @param until when the VM may get work again
 */
public record PlannedStop(String machine, Instant from, Instant until) {

  /** Returns whether the VM is stopped at {@code now}. */
  public boolean isActiveAt(Instant now) {
    return !now.isBefore(from) && now.isBefore(until);
  }
}
