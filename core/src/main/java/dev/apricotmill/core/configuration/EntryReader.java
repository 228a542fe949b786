package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * Reads the entries of a configuration from JSON. Collects syntax faults; the values are checked
 * later.
 */
final class EntryReader {
  private static final Zone PLACEHOLDER_ZONE = new Zone("?");

  private final ImmutableSet.Builder<ServiceName> declaredServices = ImmutableSet.builder();
  private final ImmutableSet.Builder<ServiceName> servicesWithRules = ImmutableSet.builder();

  /** Returns the names of all services read so far, including those with faults. */
  ImmutableSet<ServiceName> declaredServices() {
    return declaredServices.build();
  }

  /** Returns the services named by the rules read so far, including rules with faults. */
  ImmutableSet<ServiceName> servicesWithRules() {
    return servicesWithRules.build();
  }

  /** Reads a customer as the platform stores it. */
  Optional<Customer> storedCustomer(JsonFields fields) {
    return customer(fields, fields.text("keyHash"));
  }

  /** Reads a customer from a configuration file, with a key or its hash. */
  Optional<Customer> customerFromFile(JsonFields fields) {
    if (fields.has("key") == fields.has("keyHash")) {
      fields.fault("key", Kind.KEY_OR_HASH, "");
      return customer(fields, "");
    }
    if (fields.has("keyHash")) {
      return storedCustomer(fields);
    }
    String key = fields.text("key");
    if (!CustomerKey.isStrongEnough(key)) {
      fields.fault("key", Kind.WEAK_KEY, "at least " + CustomerKey.MINIMUM_LENGTH + " characters");
    }
    return customer(fields, CustomerKey.hash(key));
  }

  private static Optional<Customer> customer(JsonFields fields, String keyHash) {
    CustomerId id = new CustomerId(fields.text("id"));
    int weight = fields.integer("weight");
    Priority priority = fields.enumValue("priority", Priority.class);
    CustomerLimits limits = limits(fields.object("limits"));
    return fields.finish()
        ? Optional.of(new Customer(id, keyHash, weight, priority, limits))
        : Optional.empty();
  }

  private static CustomerLimits limits(JsonFields fields) {
    CustomerLimits limits =
        new CustomerLimits(
            fields.number("requestsPerSecond"),
            fields.number("promptTokensPerSecond"),
            fields.integer("openRequests"));
    fields.finish();
    return limits;
  }

  Optional<Service> service(JsonFields fields) {
    ServiceKind kind = fields.enumValue("kind", ServiceKind.class);
    ServiceName name = new ServiceName(fields.text("name"));
    declaredServices.add(name);
    ImmutableList<Replica> replicas =
        fields.list("replicas", EntryReader::replica).stream()
            .map(Located::value)
            .collect(ImmutableList.toImmutableList());
    Service service = kind.read(fields, name, replicas);
    return fields.finish() ? Optional.of(service) : Optional.empty();
  }

  private static Optional<Replica> replica(JsonFields fields) {
    ReplicaId id = new ReplicaId(fields.text("id"));
    String zone = fields.text("zone");
    if (zone.isEmpty()) {
      fields.fault("zone", Kind.MALFORMED_VALUE, "");
    }
    Replica replica =
        new Replica(
            id,
            zone.isEmpty() ? PLACEHOLDER_ZONE : new Zone(zone),
            fields.address("address"),
            fields.text("machine"));
    return fields.finish() ? Optional.of(replica) : Optional.empty();
  }

  Optional<Rule> rule(JsonFields fields) {
    ServiceName service = new ServiceName(fields.text("service"));
    servicesWithRules.add(service);
    Rule rule =
        new Rule(
            service,
            fields.text("method"),
            fields.text("pathPrefix"),
            fields.enumValue("access", Rule.Access.class),
            fields.enumValue("repetition", Rule.Repetition.class),
            fields.duration("timeLimit"));
    return fields.finish() ? Optional.of(rule) : Optional.empty();
  }

  Optional<PlannedStop> plannedStop(JsonFields fields) {
    PlannedStop stop =
        new PlannedStop(fields.text("machine"), fields.instant("from"), fields.instant("until"));
    return fields.finish() ? Optional.of(stop) : Optional.empty();
  }
}
