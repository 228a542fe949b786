package dev.apricotmill.daemon.settings;

import com.google.common.collect.ImmutableList;

/** What became of reading the settings. */
public sealed interface SettingsResult {

  /**
   * All settings are right.
   *
   * @param settings the settings
   */
  record Valid(DaemonSettings settings) implements SettingsResult {}

  /**
   * Some settings are wrong.
   *
   * @param faults every fault that was found
   */
  record Invalid(ImmutableList<SettingFault> faults) implements SettingsResult {}

  /**
   * The user asked for the help text.
   *
   * @param text the text
   */
  record HelpRequested(String text) implements SettingsResult {}

  /** The user asked for the version. */
  record VersionRequested() implements SettingsResult {}
}
