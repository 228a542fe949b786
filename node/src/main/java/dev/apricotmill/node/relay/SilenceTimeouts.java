package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.Route;
import java.time.Duration;

/**
 * Decides how long a server may be silent before another server is tried as well.
 *
 * <p>Silence alone does not tell a lost server from one that prefills a long prompt. An attempt
 * that is made too early causes a second prefill, which adds load to a pool that is already slower
 * than expected. Long prompts therefore get more time.
 */
final class SilenceTimeouts {

  /** A first event may always be this much later than expected. */
  private static final Duration MIN_FIRST_EVENT_GRACE = Duration.ofMillis(1200);

  /** A gap between events may always be this long; callers wait two seconds. */
  private static final Duration MIN_EVENT_GAP_TIMEOUT = Duration.ofMillis(1500);

  /** A gap this many times as long as the target may mean that the server is lost. */
  private static final int EVENT_GAP_TARGET_MULTIPLIER = 3;

  /** How soon another server is looked for again while none accepts the stream. */
  static final Duration STANDBY_RETRY_PERIOD = Duration.ofMillis(250);

  private SilenceTimeouts() {}

  /** Returns the timeout for the first event, which is expected after {@code expected}. */
  static Duration firstEventTimeout(Route route, Duration expected) {
    Duration grace = max(MIN_FIRST_EVENT_GRACE, route.latencyTarget());
    return expected.multipliedBy(3).dividedBy(2).plus(grace);
  }

  /** Returns the timeout from one event to the next. */
  static Duration eventGapTimeout(Route route) {
    return max(
        MIN_EVENT_GAP_TIMEOUT,
        route
            .eventGapTarget()
            .orElse(MIN_EVENT_GAP_TIMEOUT)
            .multipliedBy(EVENT_GAP_TARGET_MULTIPLIER));
  }

  private static Duration max(Duration first, Duration second) {
    return first.compareTo(second) < 0 ? second : first;
  }
}
