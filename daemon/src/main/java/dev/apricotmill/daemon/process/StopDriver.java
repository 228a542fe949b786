package dev.apricotmill.daemon.process;

import dev.apricotmill.daemon.http.HttpListener;
import dev.apricotmill.node.relay.PlannedStop;
import dev.apricotmill.node.relay.RelayNode;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Drives a planned stop of the relay until it is over. */
public final class StopDriver {

  /** A new connection sends its request within this time. */
  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(300);

  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private StopDriver() {}

  /**
   * Stops the relay: it accepts requests for a short time and then refuses them.
   *
   * <p>Returns when all requests have ended, or shortly before {@code grace} ends.
   */
  public static void run(RelayNode relay, HttpListener callers, Duration grace) {
    relay.beginStop(grace);
    while (relay.advanceStop(callers.openResponses()) != PlannedStop.Phase.OVER) {
      // A request that arrives later on an idle connection could exceed the grace period.
      callers.closeIdle(IDLE_TIMEOUT);
      LockSupport.parkNanos(POLL_NANOS);
    }
  }
}
