package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.Route;
import java.time.Duration;

/**
 * Decides how long a server may be quiet before a stream goes on at another one.
 *
 * <p>Answers the load pattern of a pool that is slower than expected: a prompt that is given up too
 * early is read again, which makes a busy pool busier. Long prompts therefore get more time.
 */
final class SilenceLimits {

  /** What a first event may be later than expected at least, before its server is given up. */
  private static final Duration LEAST_GRACE = Duration.ofMillis(1200);

  /** The pause that is allowed at least; callers wait two seconds. */
  private static final Duration LEAST_PAUSE = Duration.ofMillis(1500);

  /** A pause this many times as long as the goal means that the server is lost. */
  private static final int PAUSES_TO_SILENCE = 3;

  private SilenceLimits() {}

  /** Returns the time for the first event, which was expected after {@code expected}. */
  static Duration firstEvent(Route route, Duration expected) {
    Duration grace = longer(LEAST_GRACE, route.latencyTarget());
    return expected.multipliedBy(3).dividedBy(2).plus(grace);
  }

  /** Returns the time from one event to the next. */
  static Duration pause(Route route) {
    return longer(
        LEAST_PAUSE, route.eventGapTarget().orElse(LEAST_PAUSE).multipliedBy(PAUSES_TO_SILENCE));
  }

  private static Duration longer(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? second : first;
  }
}
