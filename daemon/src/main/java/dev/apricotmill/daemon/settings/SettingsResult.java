package dev.apricotmill.daemon.settings;

import com.google.common.collect.ImmutableList;

/** The result of reading the settings. */
public sealed interface SettingsResult {

  /**
   * All settings are valid.
   *
   * @param settings the validated settings
   */
  record Valid(DaemonSettings settings) implements SettingsResult {}

  /**
   * Some settings are invalid.
   *
   * @param faults every fault found
   */
  record Invalid(ImmutableList<SettingFault> faults) implements SettingsResult {}

  /**
   * The user asked for the help text.
   *
   * @param text the help text
   */
  record HelpRequested(String text) implements SettingsResult {}

  /** The user asked for the version. */
  record VersionRequested() implements SettingsResult {}
}
