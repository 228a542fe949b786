package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.util.Optional;

/**
 * Reads and writes the operators' configuration file: one JSON object for the whole configuration.
 *
 * <p>A file may contain a customer's key in plain text; only its hash leaves this class. A file
 * without planned stops keeps the current ones, so that it does not undo the stops of the day's
 * sheet.
 */
public final class ConfigurationFile {
  /** Maximum size of a file. */
  public static final int MAXIMUM_BYTES = 64 << 20;

  private ConfigurationFile() {}

  /**
   * Reads and checks a file.
   *
   * @param text the file's bytes in UTF-8
   * @param currentStops the planned stops to keep if the file does not list any
   */
  public static CheckResult check(byte[] text, ImmutableList<PlannedStop> currentStops) {
    FaultCollector faults = new FaultCollector();
    if (text.length > MAXIMUM_BYTES) {
      faults.add("", Kind.TOO_LARGE, text.length + " bytes, at most " + MAXIMUM_BYTES);
      return new CheckResult.Invalid(faults.all());
    }
    Optional<JsonNode> tree = JsonText.read(text, "", faults);
    if (tree.isEmpty()) {
      return new CheckResult.Invalid(faults.all());
    }
    ConfigurationDraft draft = draft(tree.get(), currentStops, faults);
    ConfigurationValidator.check(draft, faults);
    ImmutableList<ConfigurationFault> locatedFaults = JsonText.locate(text, faults.all());
    return locatedFaults.stream().anyMatch(ConfigurationFault::isError)
        ? new CheckResult.Invalid(locatedFaults)
        : new CheckResult.Valid(draft.toConfiguration(0), locatedFaults);
  }

  /** Returns a configuration as the text of a file, with key hashes instead of keys. */
  public static String render(Configuration configuration) {
    ObjectNode node =
        JsonNodeFactory.instance.objectNode().put("objective", configuration.objective().name());
    node.set(
        "customers", EntryWriter.array(configuration.customers().values(), EntryWriter::customer));
    node.set(
        "services", EntryWriter.array(configuration.services().values(), EntryWriter::service));
    node.set("rules", EntryWriter.array(configuration.rules(), EntryWriter::rule));
    node.set(
        "plannedStops", EntryWriter.array(configuration.plannedStops(), EntryWriter::plannedStop));
    try {
      return JsonText.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not serialize a JSON tree", e);
    }
  }

  private static ConfigurationDraft draft(
      JsonNode tree, ImmutableList<PlannedStop> currentStops, FaultCollector faults) {
    EntryReader reader = new EntryReader();
    JsonFields fields = new JsonFields(tree, "", faults);
    Objective objective = fields.enumValue("objective", Objective.class);
    ImmutableList<Located<Customer>> customers =
        fields.nonEmptyList("customers", reader::customerFromFile);
    ImmutableList<Located<Service>> services = fields.nonEmptyList("services", reader::service);
    ImmutableList<Located<Rule>> rules = fields.nonEmptyList("rules", reader::rule);
    ImmutableList<Located<PlannedStop>> stops =
        fields.has("plannedStops")
            ? fields.list("plannedStops", reader::plannedStop)
            : ConfigurationDraft.located("/plannedStops", currentStops);
    fields.finish();
    return new ConfigurationDraft(
        objective,
        customers,
        services,
        rules,
        stops,
        reader.declaredServices(),
        reader.servicesWithRules());
  }
}
