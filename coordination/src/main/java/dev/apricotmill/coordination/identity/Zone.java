package dev.apricotmill.coordination.identity;

/**
 * The name of an availability zone.
 *
 * @param name the zone's name in the settings, such as {@code lisbon-1}
 */
public record Zone(String name) implements Comparable<Zone> {

  /** Checks that the name is not empty. */
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
