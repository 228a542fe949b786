package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;

/** Checks the values of a whole configuration and reports all faults together. */
public final class ConfigurationValidator {
  private ConfigurationValidator() {}

  /** Returns all faults of a configuration, with the pointers of a file of the same content. */
  public static ImmutableList<ConfigurationFault> check(Configuration configuration) {
    FaultCollector faults = new FaultCollector();
    check(ConfigurationDraft.of(configuration), faults);
    return faults.all();
  }

  static void check(ConfigurationDraft draft, FaultCollector faults) {
    int syntaxFaults = faults.count();
    checkCounts(draft, faults);
    if (faults.count() > syntaxFaults) {
      return;
    }
    CustomerChecks.check(draft, faults);
    ServiceChecks.check(draft, faults);
    RuleChecks.check(draft, faults);
    PlannedStopChecks.check(draft, faults);
    if (syntaxFaults == 0 && faults.all().stream().noneMatch(ConfigurationFault::isError)) {
      checkPartSizes(draft, faults);
    }
  }

  /**
   * Checks the counts, which bound the later checks: those compare all pairs of stops and rules.
   */
  private static void checkCounts(ConfigurationDraft draft, FaultCollector faults) {
    int replicas =
        draft.services().stream().mapToInt(located -> located.value().replicas().size()).sum();
    checkCount(
        draft.customers().size(), ConfigurationLimits.MAXIMUM_CUSTOMERS, "/customers", faults);
    checkCount(replicas, ConfigurationLimits.MAXIMUM_REPLICAS, "/services", faults);
    checkCount(draft.rules().size(), ConfigurationLimits.MAXIMUM_RULES, "/rules", faults);
    checkCount(
        draft.plannedStops().size(), ConfigurationLimits.MAXIMUM_STOPS, "/plannedStops", faults);
  }

  private static void checkCount(int count, int maximum, String pointer, FaultCollector faults) {
    if (count > maximum) {
      faults.add(pointer, Kind.TOO_MANY, count + ", at most " + maximum);
    }
  }

  private static void checkPartSizes(ConfigurationDraft draft, FaultCollector faults) {
    ConfigurationCodec.encode(draft.toConfiguration(0))
        .forEach(
            (part, bytes) -> {
              if (bytes.length > Platform.MAX_VALUE_BYTES) {
                faults.add("", Kind.PART_TOO_LARGE, part + ", " + bytes.length + " bytes");
              }
            });
  }
}
