package dev.apricotmill.coordination.time;

import java.time.Duration;

/**
 * How long a response may take.
 *
 * <p>A large response over a slow link takes long without anything being wrong. What tells it from
 * a peer that does not respond is that its bytes keep arriving.
 *
 * @param begin the maximum time until something of the response arrives
 * @param gap the maximum time between two arrivals
 * @param total the maximum time until the response is complete
 */
public record ResponseLimits(Duration begin, Duration gap, Duration total) {

  /** Returns limits for a short response, which must be complete within {@code total}. */
  public static ResponseLimits within(Duration total) {
    return new ResponseLimits(total, total, total);
  }
}
