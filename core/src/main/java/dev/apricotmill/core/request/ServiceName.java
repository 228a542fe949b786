package dev.apricotmill.core.request;

/**
 * Names a service: a pool of model engines or a plain service.
 *
 * @param value the name in the configuration
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
