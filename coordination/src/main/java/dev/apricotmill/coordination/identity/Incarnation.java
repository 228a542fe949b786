package dev.apricotmill.coordination.identity;

/**
 * One run of a daemon process. The number grows with every start and whenever peers declared, or
 * may have declared, the daemon dead.
 *
 * @param daemon the daemon
 * @param number the incarnation number; a higher one replaces a lower one
 */
public record Incarnation(DaemonId daemon, long number) {

  /** Returns whether this is a later incarnation of the same daemon as {@code other}. */
  public boolean replaces(Incarnation other) {
    return daemon.equals(other.daemon) && number > other.number;
  }

  @Override
  public String toString() {
    return daemon + "#" + number;
  }
}
