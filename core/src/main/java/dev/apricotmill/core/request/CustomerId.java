package dev.apricotmill.core.request;

/**
 * Identifies a customer.
 *
 * @param value the identifier in the configuration
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
