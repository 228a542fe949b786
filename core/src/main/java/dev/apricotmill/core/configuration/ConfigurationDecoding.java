package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Decodes the parts of one stored configuration and gathers every fault. */
final class ConfigurationDecoding {
  private final FaultCollector faults = new FaultCollector();
  private final ConfigurationReader reader = new ConfigurationReader();
  private final TreeMap<String, byte[]> unreadParts;

  ConfigurationDecoding(Map<String, byte[]> parts) {
    this.unreadParts = new TreeMap<>(parts);
  }

  DecodeResult decode(long generation) {
    Objective objective = objective();
    ImmutableList<Placed<Service>> services = entries(ConfigurationCodec.SERVICES, reader::service);
    ImmutableList<Placed<Rule>> rules = entries(ConfigurationCodec.RULES, reader::rule);
    ImmutableList<Placed<PlannedStop>> stops =
        entries(ConfigurationCodec.PLANNED_STOPS, reader::plannedStop);
    ImmutableList<Placed<Customer>> customers = customers();
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
            reader.namedServices(),
            reader.ruledServices());
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
    Objective objective = fields.choice("objective", Objective.class);
    fields.finish();
    return objective;
  }

  private ImmutableList<Placed<Customer>> customers() {
    ImmutableList.Builder<Placed<Customer>> customers = ImmutableList.builder();
    for (String name : ImmutableList.copyOf(unreadParts.keySet())) {
      if (name.startsWith(ConfigurationCodec.CUSTOMERS_PREFIX)) {
        ImmutableList<Placed<Customer>> ofPart = entries(name, reader::storedCustomer);
        checkPart(name, ofPart);
        customers.addAll(ofPart);
      }
    }
    return customers.build();
  }

  private void checkPart(String part, ImmutableList<Placed<Customer>> customers) {
    Set<Object> seen = new HashSet<>();
    for (Placed<Customer> customer : customers) {
      String id = customer.value().id().value();
      if (!ConfigurationCodec.partOf(customer.value().id()).equals(part)) {
        faults.add(customer.pointer() + "/id", Kind.MISPLACED, id);
      }
      if (!seen.add(id)) {
        faults.add(customer.pointer() + "/id", Kind.DUPLICATE, id);
      }
    }
  }

  private void checkServiceNames(ImmutableList<Placed<Service>> services) {
    Set<Object> seen = new HashSet<>();
    for (Placed<Service> service : services) {
      if (!seen.add(service.value().name())) {
        faults.add(service.pointer() + "/name", Kind.DUPLICATE, service.value().name().value());
      }
    }
  }

  private <T> ImmutableList<Placed<T>> entries(
      String name, Function<JsonFields, Optional<T>> entryReader) {
    return part(name)
        .map(array -> JsonFields.eachOf(array, "/" + name, faults, entryReader))
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
