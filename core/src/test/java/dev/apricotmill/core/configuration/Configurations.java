package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Configurations for tests. */
public final class Configurations {
  private Configurations() {}

  /** Returns a valid configuration with a model pool, a plain service and two customers. */
  public static Configuration small() {
    return new Configuration(
        1,
        Objective.SHORT_REQUEST_SLOWDOWN,
        customers(2),
        ImmutableMap.of(
            new ServiceName("model"), modelPool("model", 3),
            new ServiceName("desk"), plainPool("desk", 3)),
        ImmutableList.of(
            rule("model", "*", "/", Rule.Repetition.IDEMPOTENT),
            rule("desk", "GET", "/", Rule.Repetition.IDEMPOTENT),
            rule("desk", "*", "/", Rule.Repetition.AT_MOST_ONCE)),
        ImmutableList.of());
  }

  /** Returns the small configuration with the given number of customers. */
  public static Configuration withCustomers(int count) {
    Configuration base = small();
    return new Configuration(
        0, base.objective(), customers(count), base.services(), base.rules(), ImmutableList.of());
  }

  /** Returns the configuration with one customer replaced or added. */
  public static Configuration withCustomer(Configuration configuration, Customer customer) {
    return new Configuration(
        configuration.generation(),
        configuration.objective(),
        ImmutableMap.<CustomerId, Customer>builder()
            .putAll(configuration.customers())
            .put(customer.id(), customer)
            .buildKeepingLast(),
        configuration.services(),
        configuration.rules(),
        configuration.plannedStops());
  }

  /** Returns a copy of the customer with another weight. */
  public static Customer withWeight(Customer customer, int weight) {
    return new Customer(
        customer.id(), customer.keyHash(), weight, customer.priority(), customer.limits());
  }

  /** Returns the same configuration with its maps in another order. */
  public static Configuration withReversedMaps(Configuration original) {
    return new Configuration(
        original.generation(),
        original.objective(),
        reversed(original.customers()),
        reversed(original.services()),
        original.rules(),
        original.plannedStops());
  }

  /** Returns any configuration that the format can hold, valid or not. */
  public static Arbitrary<Configuration> arbitrary() {
    Arbitrary<Instant> instants =
        Arbitraries.longs().between(0, 4_102_444_800L).map(Instant::ofEpochSecond);
    Arbitrary<PlannedStop> stops =
        Combinators.combine(names(), instants, instants).as(PlannedStop::new);
    return Combinators.combine(
            Arbitraries.longs().between(0, Long.MAX_VALUE),
            Arbitraries.of(Objective.class),
            arbitraryCustomer().list().uniqueElements(Customer::id).ofMaxSize(20),
            arbitraryService().list().uniqueElements(Service::name).ofMaxSize(4),
            arbitraryRule().list().ofMaxSize(5),
            stops.list().ofMaxSize(3))
        .as(Configurations::assemble);
  }

  private static Configuration assemble(
      long generation,
      Objective objective,
      List<Customer> customers,
      List<Service> services,
      List<Rule> rules,
      List<PlannedStop> stops) {
    return new Configuration(
        generation,
        objective,
        customers.stream().collect(ImmutableMap.toImmutableMap(Customer::id, each -> each)),
        services.stream().collect(ImmutableMap.toImmutableMap(Service::name, each -> each)),
        ImmutableList.copyOf(rules),
        ImmutableList.copyOf(stops));
  }

  private static Arbitrary<Customer> arbitraryCustomer() {
    Arbitrary<CustomerLimits> limits =
        Combinators.combine(
                Arbitraries.doubles().between(0, 1e9),
                Arbitraries.doubles().between(0, 1e9),
                Arbitraries.integers())
            .as(CustomerLimits::new);
    return Combinators.combine(
            names().map(CustomerId::new),
            names(),
            Arbitraries.integers(),
            Arbitraries.of(Priority.class),
            limits)
        .as(Customer::new);
  }

  private static Arbitrary<Service> arbitraryService() {
    Arbitrary<ImmutableList<Replica>> replicas =
        Combinators.combine(names(), names(), Arbitraries.integers().between(0, 65_535), names())
            .as(
                (id, zone, port, machine) ->
                    new Replica(
                        new ReplicaId(id),
                        new Zone(zone),
                        new PeerAddress("127.0.0.1", port),
                        machine))
            .list()
            .ofMaxSize(4)
            .map(ImmutableList::copyOf);
    Arbitrary<ServiceName> serviceNames = names().map(ServiceName::new);
    Arbitrary<Service> pools =
        Combinators.combine(
                serviceNames, replicas, Arbitraries.longs(), Arbitraries.of(true, false))
            .as(
                (name, members, memory, fencing) ->
                    new Service.ModelPool(
                        name, members, new EngineProfile(memory, 0.5, 1e6, 7), fencing));
    Arbitrary<Service> plain =
        Combinators.combine(
                serviceNames, replicas, Arbitraries.of(KeyPolicy.Form.class), durations())
            .as(
                (name, members, form, window) ->
                    new Service.PlainPool(name, members, new KeyPolicy(form, window)));
    return Arbitraries.oneOf(pools, plain);
  }

  private static Arbitrary<Rule> arbitraryRule() {
    return Combinators.combine(
            names().map(ServiceName::new),
            names(),
            names(),
            Arbitraries.of(Rule.Access.class),
            Arbitraries.of(Rule.Repetition.class),
            durations())
        .as(Rule::new);
  }

  private static Arbitrary<String> names() {
    return Arbitraries.strings().ofMinLength(1).ofMaxLength(8).withCharRange(' ', '\ud7ff');
  }

  private static Arbitrary<Duration> durations() {
    return Arbitraries.longs().between(0, 1L << 40).map(Duration::ofMillis);
  }

  private static ImmutableMap<CustomerId, Customer> customers(int count) {
    return IntStream.range(0, count)
        .mapToObj(number -> String.format("customer-%05d", number))
        .map(
            name ->
                new Customer(
                    new CustomerId(name),
                    CustomerKey.hash("key of " + name),
                    100,
                    Priority.NORMAL,
                    new CustomerLimits(50, 200_000, 400)))
        .collect(ImmutableMap.toImmutableMap(Customer::id, customer -> customer));
  }

  private static Service modelPool(String name, int replicas) {
    return new Service.ModelPool(
        new ServiceName(name),
        replicas(name, replicas, 9_000),
        new EngineProfile(400_000, 20_000, 60, 64),
        true);
  }

  private static Service plainPool(String name, int replicas) {
    return new Service.PlainPool(
        new ServiceName(name),
        replicas(name, replicas, 9_500),
        new KeyPolicy(KeyPolicy.Form.TIMED, Duration.ofHours(1)));
  }

  private static ImmutableList<Replica> replicas(String service, int count, int firstPort) {
    return IntStream.range(0, count)
        .mapToObj(
            number ->
                new Replica(
                    new ReplicaId(service + "-" + number),
                    new Zone("zone-" + number % 3),
                    new PeerAddress("127.0.0.1", firstPort + number),
                    service + "-machine-" + number))
        .collect(ImmutableList.toImmutableList());
  }

  private static Rule rule(
      String service, String method, String pathPrefix, Rule.Repetition repetition) {
    return new Rule(
        new ServiceName(service),
        method,
        pathPrefix,
        Rule.Access.ALLOW,
        repetition,
        Duration.ofSeconds(30));
  }

  private static <K, V> ImmutableMap<K, V> reversed(ImmutableMap<K, V> map) {
    return map.entrySet().asList().reverse().stream()
        .collect(ImmutableMap.toImmutableMap(entry -> entry.getKey(), entry -> entry.getValue()));
  }
}
