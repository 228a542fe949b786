package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.PlatformFailure;

/** The answer to reading the history. */
public sealed interface HistoryResult {

  /**
   * The newest heads.
   *
   * @param heads the heads, newest first
   */
  record Listed(ImmutableList<ConfigurationHead> heads) implements HistoryResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements HistoryResult {}
}
