package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * A complete, accepted configuration.
 *
 * @param generation number that grows by one with each accepted change; zero before the first one
 * @param objective what the deployment optimizes for
 * @param customers all customers
 * @param services all services
 * @param rules the rules in order; the first one that matches a request applies
 * @param plannedStops the planned stops
 */
public record Configuration(
    long generation,
    Objective objective,
    ImmutableMap<CustomerId, Customer> customers,
    ImmutableMap<ServiceName, Service> services,
    ImmutableList<Rule> rules,
    ImmutableList<PlannedStop> plannedStops) {

  /** The configuration of a newly started daemon, under which no request may run. */
  public static final Configuration NONE =
      new Configuration(
          0,
          Objective.SHORT_REQUEST_SLOWDOWN,
          ImmutableMap.of(),
          ImmutableMap.of(),
          ImmutableList.of(),
          ImmutableList.of());

  /** Returns the service of that name. */
  public Optional<Service> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the first rule that matches the request. */
  public Optional<Rule> ruleFor(ServiceName service, String method, String path) {
    return rules.stream().filter(rule -> rule.matches(service, method, path)).findFirst();
  }
}
