package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The memory that one request has reserved at the helpers that read its prompt: all or none.
 *
 * <p>A reservation lasts a short time and is prolonged while the request runs, so that the memory
 * comes back by itself when this node dies. Runs on the relay's executor.
 */
final class PartReservations {

  /** Shorter than any bound within which the memory of a dead node must be free again. */
  private static final Duration HOLD = Duration.ofSeconds(3);

  private static final Duration PROLONG = Duration.ofSeconds(1);

  /** A reservation without an answer may still be made for this long. */
  private static final Duration LATE_RESERVATION = Duration.ofSeconds(14);

  private final Timing timing;
  private final BackendPort backends;
  private final EventLog log;
  private final RequestId request;
  private final ImmutableList<BackendServer> servers;
  private final long tokens;
  private int reserved;
  private boolean answered;
  private boolean released;
  private boolean uncertain;
  private @Nullable Future<?> prolonging;

  PartReservations(
      Timing timing,
      BackendPort backends,
      EventLog log,
      RequestId request,
      ImmutableList<BackendServer> servers,
      long tokens) {
    this.timing = timing;
    this.backends = backends;
    this.log = log;
    this.request = request;
    this.servers = servers;
    this.tokens = tokens;
  }

  /** Reserves the memory; {@code then} learns whether all of it is reserved. */
  void reserve(Consumer<Boolean> then) {
    for (BackendServer server : servers) {
      backends.reserve(
          server,
          name(),
          tokens,
          HOLD,
          result -> timing.scheduler().execute(() -> onReserved(server, result, then)));
    }
  }

  /** Returns the name of the reservation, which is the same at each server. */
  String name() {
    return request.value();
  }

  private void onReserved(
      BackendServer server, BackendPort.ReserveResult result, Consumer<Boolean> then) {
    uncertain |= result == BackendPort.ReserveResult.UNKNOWN;
    if (answered) {
      return;
    }
    if (result != BackendPort.ReserveResult.RESERVED) {
      log.write(
          "reservation.failed",
          ImmutableMap.of(
              "request", request.value(), "server", server.id().value(), "result", result));
      answered = true;
      then.accept(false);
    } else if (++reserved == servers.size()) {
      answered = true;
      prolonging = timing.scheduleRepeatedly(PROLONG, this::prolong);
      then.accept(true);
    }
  }

  private void prolong() {
    for (BackendServer server : servers) {
      backends.reserve(
          server,
          name(),
          tokens,
          HOLD,
          result ->
              timing
                  .scheduler()
                  .execute(() -> uncertain |= result == BackendPort.ReserveResult.UNKNOWN));
    }
  }

  /** Gives the memory back, again and again while a late reservation may still be made. */
  void release() {
    if (released) {
      return;
    }
    released = true;
    answered = true;
    Future<?> task = prolonging;
    if (task != null) {
      task.cancel(false);
    }
    releaseUntil(timing.nanoTime() + LATE_RESERVATION.toNanos());
  }

  private void releaseUntil(long endNanos) {
    servers.forEach(server -> backends.release(server, name()));
    timing.schedule(
        PROLONG,
        () -> {
          if (uncertain && timing.nanoTime() < endNanos) {
            releaseUntil(endNanos);
          }
        });
  }
}
