package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;

/** Checks the meaning of a configuration as a whole and finds every fault at once. */
public final class ConfigurationValidator {
  private ConfigurationValidator() {}

  /** Returns all faults of a configuration, with the places of the file of the same content. */
  public static ImmutableList<ConfigurationFault> check(Configuration configuration) {
    FaultCollector faults = new FaultCollector();
    check(ConfigurationDraft.of(configuration), faults);
    return faults.all();
  }

  static void check(ConfigurationDraft draft, FaultCollector faults) {
    int faultsOfForm = faults.count();
    CustomerChecks.check(draft, faults);
    ServiceChecks.check(draft, faults);
    RuleChecks.check(draft, faults);
    PlannedStopChecks.check(draft, faults);
    if (faultsOfForm == 0 && faults.all().stream().noneMatch(ConfigurationFault::refuses)) {
      checkPartSizes(draft, faults);
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
