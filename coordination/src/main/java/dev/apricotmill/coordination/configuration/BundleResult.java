package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The result of loading a configuration with all its parts. */
public sealed interface BundleResult {

  /**
   * All parts were found and match their hashes.
   *
   * @param bundle the configuration
   */
  record Loaded(ConfigurationBundle bundle) implements BundleResult {}

  /**
   * A part is missing or its bytes do not match its hash.
   *
   * @param partName the part's name
   */
  record PartUnusable(String partName) implements BundleResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements BundleResult {}
}
