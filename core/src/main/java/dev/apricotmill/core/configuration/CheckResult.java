package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;

/** The answer to checking a configuration as a whole. */
public sealed interface CheckResult {
  /**
   * The configuration may be accepted.
   *
   * @param configuration the configuration, with generation zero
   * @param warnings what operators should look at
   */
  record Valid(Configuration configuration, ImmutableList<ConfigurationFault> warnings)
      implements CheckResult {}

  /**
   * The configuration is refused.
   *
   * @param faults every fault, warnings included
   */
  record Invalid(ImmutableList<ConfigurationFault> faults) implements CheckResult {}
}
