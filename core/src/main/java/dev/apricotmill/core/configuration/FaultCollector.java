package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;

/** Collects the faults of one configuration in the order in which they are found. */
final class FaultCollector {
  private final ImmutableList.Builder<ConfigurationFault> faults = ImmutableList.builder();
  private int count;

  void add(String pointer, ConfigurationFault.Kind kind, String subject) {
    add(ConfigurationFault.at(pointer, kind, subject));
  }

  void add(ConfigurationFault fault) {
    faults.add(fault);
    count++;
  }

  int count() {
    return count;
  }

  ImmutableList<ConfigurationFault> all() {
    return faults.build();
  }
}
