package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Decodes the parts of one stored configuration and collects all faults. */
final class PartsDecoder {
  private final FaultCollector faults = new FaultCollector();
  private final EntryReader reader = new EntryReader();
  private final TreeMap<String, byte[]> unreadParts;
  private final ImmutableMap<String, CustomerPart> cachedParts;
  private final ImmutableMap.Builder<String, CustomerPart> decodedParts = ImmutableMap.builder();

  /**
   * Creates a decoder for one set of parts.
   *
   * @param parts the parts by name
   * @param cachedParts customers' parts that were already decoded without a fault
   */
  PartsDecoder(Map<String, byte[]> parts, ImmutableMap<String, CustomerPart> cachedParts) {
    this.unreadParts = new TreeMap<>(parts);
    this.cachedParts = cachedParts;
  }

  /**
   * The decoded customers of one part.
   *
   * @param hash the SHA-256 of the part
   * @param customers the customers
   */
  record CustomerPart(HashCode hash, ImmutableList<Located<Customer>> customers) {}

  /** Returns the customers' parts that were decoded without a fault, by name. */
  ImmutableMap<String, CustomerPart> decodedParts() {
    return decodedParts.buildOrThrow();
  }

  DecodeResult decode(long generation) {
    Objective objective = objective();
    ImmutableList<Located<Service>> services =
        entries(ConfigurationCodec.SERVICES, reader::service);
    ImmutableList<Located<Rule>> rules = entries(ConfigurationCodec.RULES, reader::rule);
    ImmutableList<Located<PlannedStop>> stops =
        entries(ConfigurationCodec.PLANNED_STOPS, reader::plannedStop);
    ImmutableList<Located<Customer>> customers = customers();
    unreadParts.keySet().forEach(part -> faults.add("/" + part, Kind.UNKNOWN_PART, ""));
    checkServiceNames(services);
    if (faults.count() > 0) {
      return new DecodeResult.Faulty(faults.all());
    }
    ConfigurationDraft draft =
        new ConfigurationDraft(
            objective,
            customers,
            services,
            rules,
            stops,
            reader.declaredServices(),
            reader.servicesWithRules());
    return new DecodeResult.Decoded(draft.toConfiguration(generation));
  }

  private Objective objective() {
    Optional<JsonNode> settings = part(ConfigurationCodec.SETTINGS);
    if (settings.isEmpty()) {
      return Objective.SHORT_REQUEST_SLOWDOWN;
    }
    JsonFields fields = new JsonFields(settings.get(), "/" + ConfigurationCodec.SETTINGS, faults);
    int format = fields.integer("format");
    if (format != ConfigurationCodec.FORMAT) {
      fields.fault("format", Kind.UNKNOWN_FORMAT, Integer.toString(format));
    }
    Objective objective = fields.enumValue("objective", Objective.class);
    fields.finish();
    return objective;
  }

  private ImmutableList<Located<Customer>> customers() {
    ImmutableList.Builder<Located<Customer>> customers = ImmutableList.builder();
    for (String name : ImmutableList.copyOf(unreadParts.keySet())) {
      if (name.startsWith(ConfigurationCodec.CUSTOMERS_PREFIX)) {
        customers.addAll(customersInPart(name));
      }
    }
    return customers.build();
  }

  private ImmutableList<Located<Customer>> customersInPart(String name) {
    HashCode hash = Hashing.sha256().hashBytes(unreadParts.get(name));
    CustomerPart cached = cachedParts.get(name);
    if (cached != null && cached.hash().equals(hash)) {
      unreadParts.remove(name);
      decodedParts.put(name, cached);
      return cached.customers();
    }
    int faultsBefore = faults.count();
    ImmutableList<Located<Customer>> customers = entries(name, reader::storedCustomer);
    checkCustomerPart(name, customers);
    if (faults.count() == faultsBefore) {
      decodedParts.put(name, new CustomerPart(hash, customers));
    }
    return customers;
  }

  private void checkCustomerPart(String part, ImmutableList<Located<Customer>> customers) {
    Set<Object> seen = new HashSet<>();
    for (Located<Customer> customer : customers) {
      String id = customer.value().id().value();
      if (!ConfigurationCodec.partOf(customer.value().id()).equals(part)) {
        faults.add(customer.pointer() + "/id", Kind.MISPLACED, id);
      }
      if (!seen.add(id)) {
        faults.add(customer.pointer() + "/id", Kind.DUPLICATE, id);
      }
    }
  }

  private void checkServiceNames(ImmutableList<Located<Service>> services) {
    Set<Object> seen = new HashSet<>();
    for (Located<Service> service : services) {
      if (!seen.add(service.value().name())) {
        faults.add(service.pointer() + "/name", Kind.DUPLICATE, service.value().name().value());
      }
    }
  }

  private <T> ImmutableList<Located<T>> entries(
      String name, Function<JsonFields, Optional<T>> entryReader) {
    return part(name)
        .map(array -> JsonFields.readArray(array, "/" + name, faults, entryReader))
        .orElse(ImmutableList.of());
  }

  private Optional<JsonNode> part(String name) {
    byte[] bytes = unreadParts.remove(name);
    if (bytes == null) {
      faults.add("/" + name, Kind.MISSING_PART, "");
      return Optional.empty();
    }
    return JsonText.read(bytes, "/" + name, faults);
  }
}
