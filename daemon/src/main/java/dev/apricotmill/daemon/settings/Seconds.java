package dev.apricotmill.daemon.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses a number of seconds, with at most nine decimals. */
public final class Seconds {

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
  private static final int NANOS_EXPONENT = 9;

  private Seconds() {}

  /** Returns the duration, or empty if the text is not a number of seconds. */
  public static Optional<Duration> parse(String text) {
    if (!SECONDS.matcher(text).matches()) {
      return Optional.empty();
    }
    long nanos = new BigDecimal(text).movePointRight(NANOS_EXPONENT).longValueExact();
    return Optional.of(Duration.ofNanos(nanos));
  }
}
