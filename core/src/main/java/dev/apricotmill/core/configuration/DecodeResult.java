package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;

/** The answer to decoding a stored configuration. */
public sealed interface DecodeResult {
  /**
   * The parts are a whole configuration.
   *
   * @param configuration the configuration
   */
  record Decoded(Configuration configuration) implements DecodeResult {}

  /**
   * The parts can't be read as a configuration.
   *
   * @param faults every fault; the pointer begins with the name of the part
   */
  record Faulty(ImmutableList<ConfigurationFault> faults) implements DecodeResult {}
}
