package dev.apricotmill.daemon.settings;

import com.beust.jcommander.IDefaultProvider;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Reads the value of a flag that is not on the command line from its environment variable. */
record EnvironmentDefaults(ImmutableMap<String, String> environment) implements IDefaultProvider {

  /** Flags that print a text and exit, which no environment variable can set. */
  static final ImmutableSet<String> FLAGS_WITHOUT_VARIABLE = ImmutableSet.of("--help", "--version");

  private static final String PREFIX = "APRICOTMILL_";

  /**
   * Returns the environment variable of a flag: {@code --public-port} has {@code
   * APRICOTMILL_PUBLIC_PORT}.
   */
  static String variableOf(String flag) {
    return PREFIX + flag.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
  }

  @Override
  public @Nullable String getDefaultValueFor(String optionName) {
    return FLAGS_WITHOUT_VARIABLE.contains(optionName)
        ? null
        : environment.get(variableOf(optionName));
  }
}
