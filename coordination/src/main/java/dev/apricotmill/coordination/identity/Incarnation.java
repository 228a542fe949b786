package dev.apricotmill.coordination.identity;

/**
 * One life of a daemon: it gets a higher number after every start and after every pause that its
 * peers noticed.
 *
 * @param daemon the daemon
 * @param number the number of this life; a higher number replaces a lower one
 */
public record Incarnation(DaemonId daemon, long number) {

  /** Returns whether this life replaces {@code other}, a life of the same daemon. */
  public boolean replaces(Incarnation other) {
    return daemon.equals(other.daemon) && number > other.number;
  }

  @Override
  public String toString() {
    return daemon + "#" + number;
  }
}
