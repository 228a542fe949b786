package dev.apricotmill.daemon.settings;

/**
 * An invalid setting.
 *
 * @param flag the flag
 * @param kind why the setting is invalid
 * @param value the given text, empty if none
 * @param range the allowed values, empty if {@code kind} already states them
 */
public record SettingFault(String flag, FaultKind kind, String value, String range) {

  /** Returns one line that names the flag, its environment variable, the fault and the value. */
  public String message() {
    String given = value.isEmpty() ? "" : " (was \"" + value + "\")";
    String allowed = range.isEmpty() ? "" : ": " + range;
    return flag
        + " or "
        + EnvironmentDefaults.variableOf(flag)
        + " "
        + kind.explanation()
        + allowed
        + given;
  }
}
