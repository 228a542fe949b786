package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The result of reading a configuration head. */
public sealed interface HeadResult {

  /**
   * The head exists.
   *
   * @param head the head
   */
  record Found(ConfigurationHead head) implements HeadResult {}

  /** No such configuration exists. */
  record None() implements HeadResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements HeadResult {}
}
