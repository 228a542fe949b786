package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.Route;
import java.time.Duration;

/**
 * Decides how long a server may be quiet before a stream goes on at another one.
 *
 * <p>Answers the load pattern of a pool that is slower than expected: a prompt that is given up too
 * early is read again, which makes a busy pool busier. Long prompts therefore get more time.
 */
final class SilenceTimeouts {

  /** What a first event may be later than expected at least, before its server is given up. */
  private static final Duration MIN_FIRST_EVENT_GRACE = Duration.ofMillis(1200);

  /** The pause that is allowed at least; callers wait two seconds. */
  private static final Duration MIN_EVENT_GAP_TIMEOUT = Duration.ofMillis(1500);

  /** A pause this many times as long as the goal means that the server is lost. */
  private static final int EVENT_GAP_TARGET_MULTIPLIER = 3;

  private SilenceTimeouts() {}

  /** Returns the time for the first event, which was expected after {@code expected}. */
  static Duration firstEventTimeout(Route route, Duration expected) {
    Duration grace = max(MIN_FIRST_EVENT_GRACE, route.goal());
    return expected.multipliedBy(3).dividedBy(2).plus(grace);
  }

  /** Returns the time from one event to the next. */
  static Duration eventGapTimeout(Route route) {
    return max(
        MIN_EVENT_GAP_TIMEOUT,
        route.pauseGoal().orElse(MIN_EVENT_GAP_TIMEOUT).multipliedBy(EVENT_GAP_TARGET_MULTIPLIER));
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? second : first;
  }
}
