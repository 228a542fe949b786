package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two configurations entry by entry and field by field. */
public final class ConfigurationDiff {
  private static final String KEY_HASH = "keyHash";
  private static final String REDACTED_KEY = "(a key)";

  private final ImmutableList.Builder<Difference> differences = ImmutableList.builder();

  private ConfigurationDiff() {}

  /**
   * One difference.
   *
   * @param place path of the entry or field that differs, such as {@code customers/crews/weight}
   * @param before the old value, empty if it was added
   * @param after the new value, empty if it was removed
   */
  public record Difference(String place, Optional<String> before, Optional<String> after) {}

  /** Returns all differences. Key hashes are redacted. */
  public static ImmutableList<Difference> between(Configuration before, Configuration after) {
    ConfigurationDiff diff = new ConfigurationDiff();
    diff.compare("objective", before.objective().name(), after.objective().name());
    diff.compareEntries("customers", customers(before), customers(after));
    diff.compareEntries("services", services(before), services(after));
    diff.compareEntries("rules", rules(before), rules(after));
    diff.compareOrder(rules(before).keySet(), rules(after).keySet());
    diff.compareEntries("plannedStops", stops(before), stops(after));
    return diff.differences.build();
  }

  private static ImmutableMap<String, JsonNode> customers(Configuration configuration) {
    return configuration.customers().values().stream()
        .collect(
            ImmutableMap.toImmutableMap(customer -> customer.id().value(), EntryWriter::customer));
  }

  private static ImmutableMap<String, JsonNode> services(Configuration configuration) {
    return configuration.services().values().stream()
        .collect(
            ImmutableMap.toImmutableMap(
                service -> service.name().value(), ConfigurationDiff::serviceById));
  }

  /** Returns the JSON of a service, with its replicas as an object keyed by identifier. */
  private static JsonNode serviceById(Service service) {
    ObjectNode node = EntryWriter.service(service);
    ObjectNode replicas = node.objectNode();
    node.get("replicas").forEach(replica -> replicas.set(replica.get("id").asText(), replica));
    node.set("replicas", replicas);
    return node;
  }

  private static ImmutableMap<String, JsonNode> stops(Configuration configuration) {
    return configuration.plannedStops().stream()
        .collect(
            ImmutableMap.toImmutableMap(
                stop -> stop.machine() + "@" + stop.from(),
                EntryWriter::plannedStop,
                (first, last) -> last));
  }

  /** Returns the rules in order, keyed by what they match. */
  private static ImmutableMap<String, JsonNode> rules(Configuration configuration) {
    ImmutableMap.Builder<String, JsonNode> rules = ImmutableMap.builder();
    for (Rule rule : configuration.rules()) {
      rules.put(
          rule.service() + " " + rule.method() + " " + rule.pathPrefix(), EntryWriter.rule(rule));
    }
    return rules.buildKeepingLast();
  }

  /**
   * Compares the order of the rules that both have, since the first rule that matches a request
   * applies.
   */
  private void compareOrder(Set<String> before, Set<String> after) {
    String commonBefore = String.join(", ", Sets.intersection(before, after));
    String commonAfter = String.join(", ", Sets.intersection(after, before));
    compare("rules (order)", commonBefore, commonAfter);
  }

  private void compareEntries(
      String place, Map<String, JsonNode> before, Map<String, JsonNode> after) {
    for (String name : new TreeSet<>(Sets.union(before.keySet(), after.keySet()))) {
      compareNodes(
          place + "/" + name,
          Optional.ofNullable(before.get(name)),
          Optional.ofNullable(after.get(name)));
    }
  }

  private void compareNodes(String place, Optional<JsonNode> before, Optional<JsonNode> after) {
    if (before.equals(after)) {
      return;
    }
    if (before.isPresent() && after.isPresent() && before.get().isObject()) {
      compareEntries(place, fields(before.get()), fields(after.get()));
    } else if (place.endsWith("/" + KEY_HASH)) {
      differences.add(
          new Difference(place, Optional.of(REDACTED_KEY), Optional.of("(another key)")));
    } else {
      differences.add(
          new Difference(
              place,
              before.map(ConfigurationDiff::displayText),
              after.map(ConfigurationDiff::displayText)));
    }
  }

  private void compare(String place, String before, String after) {
    if (!before.equals(after)) {
      differences.add(new Difference(place, Optional.of(before), Optional.of(after)));
    }
  }

  private static Map<String, JsonNode> fields(JsonNode node) {
    Map<String, JsonNode> fields = new TreeMap<>();
    node.properties().forEach(entry -> fields.put(entry.getKey(), entry.getValue()));
    return fields;
  }

  private static String displayText(JsonNode node) {
    if (node instanceof ObjectNode object && object.has(KEY_HASH)) {
      return object.deepCopy().put(KEY_HASH, REDACTED_KEY).toString();
    }
    return node.isTextual() ? node.textValue() : node.toString();
  }
}
