package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The answer to loading a whole configuration. */
public sealed interface BundleResult {

  /**
   * All parts were found.
   *
   * @param bundle the configuration
   */
  record Loaded(ConfigurationBundle bundle) implements BundleResult {}

  /**
   * A part is missing or damaged.
   *
   * @param partName the part's name
   */
  record PartUnusable(String partName) implements BundleResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements BundleResult {}
}
