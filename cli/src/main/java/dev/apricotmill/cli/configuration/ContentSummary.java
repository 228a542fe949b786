package dev.apricotmill.cli.configuration;

import dev.apricotmill.core.configuration.Configuration;

/**
 * How much a configuration holds.
 *
 * @param customers its customers
 * @param services its services
 * @param replicas the replicas of all services
 * @param rules its rules
 * @param plannedStops its planned stops
 */
public record ContentSummary(
    int customers, int services, int replicas, int rules, int plannedStops) {

  static ContentSummary of(Configuration configuration) {
    return new ContentSummary(
        configuration.customers().size(),
        configuration.services().size(),
        configuration.services().values().stream()
            .mapToInt(service -> service.replicas().size())
            .sum(),
        configuration.rules().size(),
        configuration.plannedStops().size());
  }

  @Override
  public String toString() {
    return "customers %d, services %d, replicas %d, rules %d, planned stops %d"
        .formatted(customers, services, replicas, rules, plannedStops);
  }
}
