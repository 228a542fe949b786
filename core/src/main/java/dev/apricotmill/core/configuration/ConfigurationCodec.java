package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Multimaps;
import com.google.common.hash.Hashing;
import dev.apricotmill.core.request.CustomerId;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Encodes a configuration as named immutable parts, and decodes it.
 *
 * <p>Equal configurations are encoded as equal bytes. Customers are spread over a fixed number of
 * parts by the hash of their identifier, so that a change of one customer changes one part. A part
 * without customers is omitted. The parts do not contain the generation; it is stored in the head.
 */
public final class ConfigurationCodec {
  /** The number of parts over which customers are spread. */
  public static final int CUSTOMER_PARTS = 64;

  static final int FORMAT = 1;
  static final String SETTINGS = "settings";
  static final String SERVICES = "services";
  static final String RULES = "rules";
  static final String PLANNED_STOPS = "planned-stops";
  static final String CUSTOMERS_PREFIX = "customers-";

  private ConfigurationCodec() {}

  /** Returns the parts of a configuration by their names. */
  public static ImmutableMap<String, byte[]> encode(Configuration configuration) {
    ImmutableSortedMap.Builder<String, byte[]> parts = ImmutableSortedMap.naturalOrder();
    parts.put(SETTINGS, settings(configuration));
    parts.put(SERVICES, services(configuration));
    parts.put(RULES, bytes(EntryWriter.array(configuration.rules(), EntryWriter::rule)));
    parts.put(
        PLANNED_STOPS,
        bytes(EntryWriter.array(configuration.plannedStops(), EntryWriter::plannedStop)));
    parts.putAll(customerParts(configuration));
    return ImmutableMap.copyOf(parts.buildOrThrow());
  }

  /** Decodes the parts into a configuration with the given generation. */
  public static DecodeResult decode(long generation, Map<String, byte[]> parts) {
    return new PartsDecoder(parts, ImmutableMap.of()).decode(generation);
  }

  /** Returns the name of the part that holds a customer. */
  public static String partOf(CustomerId customer) {
    int hash = Hashing.sha256().hashString(customer.value(), StandardCharsets.UTF_8).asInt();
    return String.format("%s%02d", CUSTOMERS_PREFIX, Math.floorMod(hash, CUSTOMER_PARTS));
  }

  private static byte[] settings(Configuration configuration) {
    return bytes(
        JsonNodeFactory.instance
            .objectNode()
            .put("format", FORMAT)
            .put("objective", configuration.objective().name()));
  }

  private static byte[] services(Configuration configuration) {
    List<Service> sorted =
        configuration.services().values().stream()
            .sorted(Comparator.comparing(Service::name))
            .toList();
    return bytes(EntryWriter.array(sorted, EntryWriter::service));
  }

  private static ImmutableMap<String, byte[]> customerParts(Configuration configuration) {
    List<Customer> sorted =
        configuration.customers().values().stream()
            .sorted(Comparator.comparing(Customer::id))
            .toList();
    ImmutableListMultimap<String, Customer> byPart =
        Multimaps.index(sorted, customer -> partOf(customer.id()));
    ImmutableMap.Builder<String, byte[]> parts = ImmutableMap.builder();
    byPart
        .asMap()
        .forEach(
            (part, customers) ->
                parts.put(part, bytes(EntryWriter.array(customers, EntryWriter::customer))));
    return parts.buildOrThrow();
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return JsonText.MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not serialize a JSON tree", e);
    }
  }
}
