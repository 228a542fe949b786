package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;

/** The result of checking a configuration as a whole. */
public sealed interface CheckResult {
  /**
   * The configuration is valid and may be accepted.
   *
   * @param configuration the configuration, with generation zero
   * @param warnings the warnings to show to operators
   */
  record Valid(Configuration configuration, ImmutableList<ConfigurationFault> warnings)
      implements CheckResult {}

  /**
   * The configuration is invalid and refused.
   *
   * @param faults every fault, warnings included
   */
  record Invalid(ImmutableList<ConfigurationFault> faults) implements CheckResult {}
}
