package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.PlatformFailure;

/** The result of reading the configuration history. */
public sealed interface HistoryResult {

  /**
   * The history was read.
   *
   * @param heads the newest heads, newest first
   */
  record Listed(ImmutableList<ConfigurationHead> heads) implements HistoryResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements HistoryResult {}
}
