package dev.apricotmill.daemon.settings;

/**
 * A setting that is wrong.
 *
 * @param flag the flag
 * @param kind what is wrong
 * @param value the text that was given, empty if none
 * @param range what is allowed, empty if the fault says it
 */
public record SettingFault(String flag, FaultKind kind, String value, String range) {

  /** Returns one line that names the flag, its variable, the value and the fault. */
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
