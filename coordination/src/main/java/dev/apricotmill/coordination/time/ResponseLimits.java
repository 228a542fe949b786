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

  /** A connection without progress for so long counts as unresponsive. */
  private static final Duration MAX_TRANSFER_GAP = Duration.ofMillis(600);

  /** Ends transfers that trickle; several megabytes over the slowest link take less. */
  private static final Duration MAX_TRANSFER = Duration.ofSeconds(4);

  /** Returns limits for a short response, which must be complete within {@code total}. */
  public static ResponseLimits within(Duration total) {
    return new ResponseLimits(total, total, total);
  }

  /** Returns limits for a response that may be large and must begin within {@code begin}. */
  public static ResponseLimits transfer(Duration begin) {
    return new ResponseLimits(begin, MAX_TRANSFER_GAP, begin.plus(MAX_TRANSFER));
  }
}
