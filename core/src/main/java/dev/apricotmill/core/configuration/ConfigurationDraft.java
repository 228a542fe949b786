package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import java.util.stream.IntStream;

/**
 * A configuration that was read but not yet checked; it may contain duplicates.
 *
 * @param objective what the deployment optimizes for
 * @param customers the customers
 * @param services the services
 * @param rules the rules in order
 * @param plannedStops the planned stops
 * @param declaredServices names of all services, including those that could not be read completely
 * @param servicesWithRules services named by rules, including rules that could not be read
 *     completely
 */
record ConfigurationDraft(
    Objective objective,
    ImmutableList<Located<Customer>> customers,
    ImmutableList<Located<Service>> services,
    ImmutableList<Located<Rule>> rules,
    ImmutableList<Located<PlannedStop>> plannedStops,
    ImmutableSet<ServiceName> declaredServices,
    ImmutableSet<ServiceName> servicesWithRules) {

  /** Returns a draft with the JSON pointers of a configuration file of the same content. */
  static ConfigurationDraft of(Configuration configuration) {
    return new ConfigurationDraft(
        configuration.objective(),
        located("/customers", configuration.customers().values().asList()),
        located("/services", configuration.services().values().asList()),
        located("/rules", configuration.rules()),
        located("/plannedStops", configuration.plannedStops()),
        configuration.services().keySet(),
        configuration.rules().stream().map(Rule::service).collect(ImmutableSet.toImmutableSet()));
  }

  /** Returns the configuration; of several entries with the same identifier the last is kept. */
  Configuration toConfiguration(long generation) {
    return new Configuration(
        generation,
        objective,
        customers.stream()
            .map(Located::value)
            .sorted((left, right) -> left.id().compareTo(right.id()))
            .collect(
                ImmutableMap.<Customer, CustomerId, Customer>toImmutableMap(
                    Customer::id, customer -> customer, (first, last) -> last)),
        services.stream()
            .map(Located::value)
            .sorted((left, right) -> left.name().compareTo(right.name()))
            .collect(
                ImmutableMap.<Service, ServiceName, Service>toImmutableMap(
                    Service::name, service -> service, (first, last) -> last)),
        values(rules),
        values(plannedStops));
  }

  private static <T> ImmutableList<T> values(ImmutableList<Located<T>> located) {
    return located.stream().map(Located::value).collect(ImmutableList.toImmutableList());
  }

  /** Returns the values with the pointers of the elements of an array. */
  static <T> ImmutableList<Located<T>> located(String pointer, ImmutableList<T> values) {
    return IntStream.range(0, values.size())
        .mapToObj(index -> new Located<>(pointer + "/" + index, values.get(index)))
        .collect(ImmutableList.toImmutableList());
  }
}
