package dev.apricotmill.core.configuration;

import com.google.common.base.CharMatcher;
import com.google.common.collect.BoundType;
import com.google.common.collect.Range;
import java.time.Duration;
import java.util.regex.Pattern;

/** Limits and formats of the values in a configuration. */
public final class ConfigurationLimits {
  /** The weight of a customer. */
  public static final Range<Integer> WEIGHT = Range.closed(1, 1_000);

  /** Requests per second of one customer. */
  public static final Range<Double> REQUESTS_PER_SECOND = Range.closed(0.01, 100_000.0);

  /** Prompt tokens per second of one customer. */
  public static final Range<Double> PROMPT_TOKENS_PER_SECOND = Range.closed(1.0, 1_000_000_000.0);

  /** Requests that one customer may have open at once. */
  public static final Range<Integer> OPEN_REQUESTS = Range.closed(1, 100_000);

  /** KV memory of one engine in tokens. */
  public static final Range<Long> MEMORY_TOKENS = Range.closed(1_000L, 100_000_000L);

  /** Prompt tokens per second that an engine can prefill. */
  public static final Range<Double> PREFILL_TOKENS_PER_SECOND = Range.openClosed(0.0, 10_000_000.0);

  /** Tokens per second that one sequence generates. */
  public static final Range<Double> DECODE_TOKENS_PER_SECOND = Range.openClosed(0.0, 100_000.0);

  /** Sequences in one batch of an engine. */
  public static final Range<Integer> MAXIMUM_SEQUENCES = Range.closed(1, 10_000);

  /** The time limit of a rule. */
  public static final Range<Duration> TIME_LIMIT =
      Range.closed(Duration.ofMillis(100), Duration.ofHours(6));

  /** How long keys that carry their creation time are remembered. */
  public static final Range<Duration> TIMED_KEY_WINDOW =
      Range.closed(Duration.ofMinutes(1), Duration.ofHours(24));

  /** How long opaque keys are remembered; a retry after the window would run again. */
  public static final Range<Duration> OPAQUE_KEY_WINDOW =
      Range.closed(Duration.ofMinutes(10), Duration.ofHours(24));

  /** TCP port of a back end. */
  public static final Range<Integer> PORT = Range.closed(1, 0xFFFF);

  /** Maximum number of customers. */
  public static final int MAXIMUM_CUSTOMERS = 100_000;

  /** Maximum number of replicas of all services together. */
  public static final int MAXIMUM_REPLICAS = 4_000;

  /** Maximum number of rules. */
  public static final int MAXIMUM_RULES = 2_000;

  /** Maximum number of planned stops. */
  public static final int MAXIMUM_STOPS = 2_000;

  /** Maximum duration of a planned stop. */
  public static final Duration MAXIMUM_STOP_DURATION = Duration.ofDays(7);

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern METHOD = Pattern.compile("\\*|[A-Z]{1,20}");
  private static final CharMatcher PATH_CHARACTERS =
      CharMatcher.inRange('!', '~').and(CharMatcher.noneOf("?#\\"));
  private static final int MAXIMUM_PATH_LENGTH = 512;

  private ConfigurationLimits() {}

  /** Returns whether a text is a valid name of a customer, service, replica, zone or machine. */
  public static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  static boolean isKeyHash(String text) {
    return KEY_HASH.matcher(text).matches();
  }

  static boolean isMethod(String text) {
    return METHOD.matcher(text).matches();
  }

  static boolean isPathPrefix(String text) {
    return text.startsWith("/")
        && text.length() <= MAXIMUM_PATH_LENGTH
        && PATH_CHARACTERS.matchesAllOf(text)
        && !text.contains("/../")
        && !text.endsWith("/..");
  }

  /** Returns a description of the range for operators. */
  public static String describe(Range<?> range) {
    String lower =
        range.lowerBoundType() == BoundType.OPEN
            ? "more than " + range.lowerEndpoint()
            : String.valueOf(range.lowerEndpoint());
    return lower + " to " + range.upperEndpoint();
  }
}
