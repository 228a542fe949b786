package dev.apricotmill.coordination.platform;

import dev.apricotmill.coordination.identity.Zone;

/**
 * One VM in the platform's lagging list.
 *
 * @param name the VM's name; a daemon's identity on an entry VM, a replica's host on a backend
 *     server
 * @param role what runs there
 * @param zone its availability zone
 * @param address {@code IP:port} of the inner port on an entry VM, of the engine or service on a
 *     backend server
 * @param state live or leaving
 */
public record Machine(String name, Role role, Zone zone, String address, State state) {

  /** What runs on a VM. */
  public enum Role {
    /** An entry VM, which runs the daemon. */
    ENTRY,
    /** A backend server, which runs a model engine or a plain service. */
    BACKEND
  }

  /** Whether a VM stays. */
  public enum State {
    /** The VM is expected to stay. */
    LIVE,
    /** The VM is about to go and gets no new work. */
    LEAVING
  }
}
