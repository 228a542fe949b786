package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;

/** The result of decoding a stored configuration. */
public sealed interface DecodeResult {
  /**
   * The parts are a complete configuration.
   *
   * @param configuration the configuration
   */
  record Decoded(Configuration configuration) implements DecodeResult {}

  /**
   * The parts cannot be decoded.
   *
   * @param faults all faults; each pointer begins with the name of a part
   */
  record Faulty(ImmutableList<ConfigurationFault> faults) implements DecodeResult {}
}
