package dev.apricotmill.coordination.platform;

import dev.apricotmill.coordination.identity.Zone;

/**
 * One VM in the platform's machine list, which may be out of date.
 *
 * @param name the VM's name: the daemon's identity on an entry VM, the replica's host on a backend
 *     server
 * @param role what runs on the VM
 * @param zone the VM's availability zone
 * @param address {@code IP:port} of the daemon's inner port on an entry VM, of the engine or
 *     service on a backend server
 * @param state whether the VM is about to be removed
 */
public record Machine(String name, Role role, Zone zone, String address, State state) {

  /** What runs on a VM. */
  public enum Role {
    /** An entry VM, which runs the daemon. */
    ENTRY,
    /** A backend server, which runs a model engine or a plain service. */
    BACKEND
  }

  /** Whether a VM is about to be removed. */
  public enum State {
    /** The VM is expected to keep running. */
    LIVE,
    /** The VM is about to be removed and gets no new work. */
    LEAVING
  }
}
