package dev.apricotmill.daemon.settings;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** Reads the settings from flags and environment variables; a flag overrides its variable. */
public final class SettingsReader {

  private static final String PROGRAM = "apricotmilld";
  private static final String EXPLANATION =
      """

      Each flag has an environment variable: --public-port has APRICOTMILL_PUBLIC_PORT.
      A flag overrides its variable.
      Exit codes: 0 after a drain, 64 invalid settings, 69 a port cannot be used.
      """;

  private SettingsReader() {}

  /** Reads and checks all settings and reports every fault at once. */
  public static SettingsResult read(
      ImmutableList<String> arguments, ImmutableMap<String, String> environment) {
    SettingFlags flags = new SettingFlags();
    JCommander commander = commander(flags, environment);
    try {
      commander.parse(arguments.toArray(String[]::new));
    } catch (ParameterException e) {
      return new SettingsResult.Invalid(
          ImmutableList.of(
              new SettingFault("command line", FaultKind.NOT_UNDERSTOOD, e.getMessage(), "")));
    }
    if (flags.help()) {
      return new SettingsResult.HelpRequested(usage(commander));
    }
    if (flags.version()) {
      return new SettingsResult.VersionRequested();
    }
    return new SettingsCheck(flags).check();
  }

  /** Returns the names of all flags. */
  public static ImmutableList<String> flagNames() {
    JCommander commander = commander(new SettingFlags(), ImmutableMap.of());
    // JCommander fills in its parameter descriptions only when it parses.
    commander.parse();
    return commander.getParameters().stream()
        .map(description -> description.getParameter().names()[0])
        .sorted()
        .collect(ImmutableList.toImmutableList());
  }

  private static JCommander commander(
      SettingFlags flags, ImmutableMap<String, String> environment) {
    return JCommander.newBuilder()
        .programName(PROGRAM)
        .addObject(flags)
        .defaultProvider(new EnvironmentDefaults(environment))
        .build();
  }

  private static String usage(JCommander commander) {
    StringBuilder text = new StringBuilder();
    commander.getUsageFormatter().usage(text);
    return text.append(EXPLANATION).toString();
  }
}
