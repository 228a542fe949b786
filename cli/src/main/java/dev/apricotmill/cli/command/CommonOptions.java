package dev.apricotmill.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The options that every command takes. */
public final class CommonOptions {
  /** The environment variable that stands in for {@code --platform}. */
  public static final String PLATFORM_VARIABLE = "APRICOTMILL_PLATFORM";

  @Parameter(
      names = "--output",
      description = "How to print the result: text for people, json for programs")
  private OutputFormat output = OutputFormat.TEXT;

  @Parameter(
      names = "--platform",
      description =
          "Address of the platform as IP:PORT; the variable APRICOTMILL_PLATFORM if absent",
      converter = PeerAddressConverter.class)
  private @Nullable PeerAddress platform;

  @Parameter(
      names = "--timeout-seconds",
      description = "How long to wait for each answer of the platform or a daemon, 1 to 600")
  private int timeoutSeconds = 10;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show this help")
  private boolean help;

  /** Returns how to print the report. */
  public OutputFormat output() {
    return output;
  }

  /** Returns whether the help was asked for. */
  public boolean help() {
    return help;
  }

  /** Returns how long to wait for each answer. */
  public Duration timeout() {
    return Duration.ofSeconds(timeoutSeconds);
  }

  /** Returns the platform's address if it was given as an option. */
  Optional<PeerAddress> platformOption() {
    return Optional.ofNullable(platform);
  }

  /** Returns the platform's address from the option or from the environment. */
  public Optional<PeerAddress> platform(Map<String, String> environment) {
    if (platform != null) {
      return Optional.of(platform);
    }
    return Optional.ofNullable(environment.get(PLATFORM_VARIABLE))
        .map(new PeerAddressConverter()::convert);
  }

  /** Checks the ranges; throws {@link ParameterException} if one is not kept. */
  void check() {
    if (timeoutSeconds < 1 || timeoutSeconds > 600) {
      throw new ParameterException("--timeout-seconds must be 1 to 600");
    }
  }
}
