package dev.apricotmill.coordination.identity;

/**
 * The stable name of a daemon on an entry VM. A restarted daemon may keep it.
 *
 * @param name the name, unique in the deployment
 */
public record DaemonId(String name) implements Comparable<DaemonId> {

  /** Rejects an empty name. */
  public DaemonId {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("daemon name is empty");
    }
  }

  @Override
  public int compareTo(DaemonId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
