package dev.apricotmill.core.request;

/**
 * Identifies one replica of a service.
 *
 * @param value the identifier, unique in the deployment
 */
public record ReplicaId(String value) implements Comparable<ReplicaId> {

  @Override
  public int compareTo(ReplicaId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
