package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.time.Deadline;
import java.util.Optional;

/** The state of a lease as one process sees it. */
public sealed interface LeaseState {

  /**
   * This process holds the lease.
   *
   * @param fencingNumber higher than that of every earlier holder
   * @param until when this process stops acting as the holder unless it renews the lease, on its
   *     own monotonic clock
   */
  record Held(long fencingNumber, Deadline until) implements LeaseState {}

  /**
   * This process does not hold the lease.
   *
   * @param holder the holder last seen, empty if there was none or the platform did not respond
   */
  record NotHeld(Optional<Incarnation> holder) implements LeaseState {}
}
