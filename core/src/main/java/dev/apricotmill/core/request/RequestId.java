package dev.apricotmill.core.request;

/**
 * Identifies one request through all hops; every response carries it.
 *
 * @param value the identifier, unique in the deployment
 */
public record RequestId(String value) implements Comparable<RequestId> {

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
