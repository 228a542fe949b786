package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The answer to reading a head. */
public sealed interface HeadResult {

  /**
   * The head exists.
   *
   * @param head the head
   */
  record Found(ConfigurationHead head) implements HeadResult {}

  /** There is no such configuration. */
  record None() implements HeadResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements HeadResult {}
}
