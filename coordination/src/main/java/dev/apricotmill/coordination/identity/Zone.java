package dev.apricotmill.coordination.identity;

/**
 * An availability zone.
 *
 * @param name the zone's configured name, such as {@code lisbon-1}
 */
public record Zone(String name) implements Comparable<Zone> {

  /** Rejects an empty name. */
  public Zone {
    if (name.isEmpty()) {
      throw new IllegalArgumentException("zone name is empty");
    }
  }

  @Override
  public int compareTo(Zone other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
