package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import java.util.stream.IntStream;

/**
 * A configuration that was read but not yet checked: duplicates are still there.
 *
 * @param objective what the deployment weighs most
 * @param customers the customers
 * @param services the services
 * @param rules the rules in their order
 * @param plannedStops the planned stops
 * @param namedServices the names of all services, also of those that could not be read whole
 * @param ruledServices the services that rules name, also rules that could not be read whole
 */
record ConfigurationDraft(
    Objective objective,
    ImmutableList<Placed<Customer>> customers,
    ImmutableList<Placed<Service>> services,
    ImmutableList<Placed<Rule>> rules,
    ImmutableList<Placed<PlannedStop>> plannedStops,
    ImmutableSet<ServiceName> namedServices,
    ImmutableSet<ServiceName> ruledServices) {

  /** Returns a draft whose places are those in a configuration file of the same content. */
  static ConfigurationDraft of(Configuration configuration) {
    return new ConfigurationDraft(
        configuration.objective(),
        placed("/customers", configuration.customers().values().asList()),
        placed("/services", configuration.services().values().asList()),
        placed("/rules", configuration.rules()),
        placed("/plannedStops", configuration.plannedStops()),
        configuration.services().keySet(),
        configuration.rules().stream().map(Rule::service).collect(ImmutableSet.toImmutableSet()));
  }

  /** Returns the configuration, in which the last of several equal identifiers stays. */
  Configuration toConfiguration(long generation) {
    return new Configuration(
        generation,
        objective,
        customers.stream()
            .map(Placed::value)
            .sorted((left, right) -> left.id().compareTo(right.id()))
            .collect(
                ImmutableMap.<Customer, CustomerId, Customer>toImmutableMap(
                    Customer::id, customer -> customer, (first, last) -> last)),
        services.stream()
            .map(Placed::value)
            .sorted((left, right) -> left.name().compareTo(right.name()))
            .collect(
                ImmutableMap.<Service, ServiceName, Service>toImmutableMap(
                    Service::name, service -> service, (first, last) -> last)),
        values(rules),
        values(plannedStops));
  }

  private static <T> ImmutableList<T> values(ImmutableList<Placed<T>> placed) {
    return placed.stream().map(Placed::value).collect(ImmutableList.toImmutableList());
  }

  /** Returns the values with the places of an array's elements. */
  static <T> ImmutableList<Placed<T>> placed(String pointer, ImmutableList<T> values) {
    return IntStream.range(0, values.size())
        .mapToObj(index -> new Placed<>(pointer + "/" + index, values.get(index)))
        .collect(ImmutableList.toImmutableList());
  }
}
