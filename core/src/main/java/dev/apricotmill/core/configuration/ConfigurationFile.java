package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.util.Optional;

/**
 * Reads and writes the operators' file: one JSON object for the whole configuration.
 *
 * <p>A file may give a customer's key in plain; only its hash leaves this class. A file without
 * planned stops leaves those in force as they are, so that it does not undo the day's sheet.
 */
public final class ConfigurationFile {
  /** The largest file that is read. */
  public static final int MAXIMUM_BYTES = 64 << 20;

  private ConfigurationFile() {}

  /**
   * Reads a file and checks it as a whole.
   *
   * @param text the file's bytes in UTF-8
   * @param stopsInForce the planned stops to keep if the file names none
   */
  public static CheckResult check(byte[] text, ImmutableList<PlannedStop> stopsInForce) {
    FaultCollector faults = new FaultCollector();
    if (text.length > MAXIMUM_BYTES) {
      faults.add("", Kind.TOO_LARGE, text.length + " bytes, at most " + MAXIMUM_BYTES);
      return new CheckResult.Invalid(faults.all());
    }
    Optional<JsonNode> tree = JsonText.read(text, "", faults);
    if (tree.isEmpty()) {
      return new CheckResult.Invalid(faults.all());
    }
    ConfigurationDraft draft = draft(tree.get(), stopsInForce, faults);
    ConfigurationValidator.check(draft, faults);
    ImmutableList<ConfigurationFault> located = JsonText.locate(text, faults.all());
    return located.stream().anyMatch(ConfigurationFault::refuses)
        ? new CheckResult.Invalid(located)
        : new CheckResult.Valid(draft.toConfiguration(0), located);
  }

  /** Returns the file of a configuration, with key hashes instead of keys. */
  public static String render(Configuration configuration) {
    ObjectNode node =
        JsonNodeFactory.instance.objectNode().put("objective", configuration.objective().name());
    node.set(
        "customers",
        ConfigurationWriter.array(
            configuration.customers().values(), ConfigurationWriter::customer));
    node.set(
        "services",
        ConfigurationWriter.array(configuration.services().values(), ConfigurationWriter::service));
    node.set("rules", ConfigurationWriter.array(configuration.rules(), ConfigurationWriter::rule));
    node.set(
        "plannedStops",
        ConfigurationWriter.array(configuration.plannedStops(), ConfigurationWriter::plannedStop));
    try {
      return JsonText.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(node) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  private static ConfigurationDraft draft(
      JsonNode tree, ImmutableList<PlannedStop> stopsInForce, FaultCollector faults) {
    ConfigurationReader reader = new ConfigurationReader();
    JsonFields fields = new JsonFields(tree, "", faults);
    Objective objective = fields.choice("objective", Objective.class);
    ImmutableList<Placed<Customer>> customers =
        fields.atLeastOne("customers", reader::writtenCustomer);
    ImmutableList<Placed<Service>> services = fields.atLeastOne("services", reader::service);
    ImmutableList<Placed<Rule>> rules = fields.atLeastOne("rules", reader::rule);
    ImmutableList<Placed<PlannedStop>> stops =
        fields.has("plannedStops")
            ? fields.each("plannedStops", reader::plannedStop)
            : ConfigurationDraft.placed("/plannedStops", stopsInForce);
    fields.finish();
    return new ConfigurationDraft(
        objective,
        customers,
        services,
        rules,
        stops,
        reader.namedServices(),
        reader.ruledServices());
  }
}
