package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * The memory that one request has reserved on the helpers that prefill its prompt: on all or none.
 *
 * <p>A reservation is short and is renewed while the request runs, so that it expires by itself
 * when this node crashes. Runs on the relay's executor.
 */
final class HelperReservations {

  /** Shorter than any limit within which the memory of a crashed node must be free again. */
  private static final Duration RESERVATION_DURATION = Duration.ofSeconds(3);

  private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(1);

  /** A reservation without a response may still take effect within this time. */
  private static final Duration LATE_RESERVATION_BOUND = Duration.ofSeconds(14);

  /** How often a reservation is renewed at a server. */
  enum Renewal {
    /** Each second, so that a renewal may be lost. */
    FREQUENT {
      @Override
      boolean isDue(int period) {
        return true;
      }
    },
    /** Just often enough, at a server that has named a limit of requests. */
    SPARSE {
      @Override
      boolean isDue(int period) {
        return period % 2 == 0;
      }
    },
    /** Not at all, at a server that has asked for a pause. */
    NEVER {
      @Override
      boolean isDue(int period) {
        return false;
      }
    };

    abstract boolean isDue(int period);
  }

  private final Timing timing;
  private final BackendClient backends;
  private final EventLog log;
  private final Function<BackendServer, Renewal> renewalAt;
  private final RequestId request;
  private final String name;
  private final ImmutableList<BackendServer> servers;
  private final long tokens;
  private int reservedCount;
  private int renewals;
  private boolean completed;
  private boolean released;
  private boolean outcomeUnknown;
  private @Nullable Future<?> renewalTask;
  private @Nullable ReplicaId refusingServer;

  /**
   * Creates reservations that are not made yet.
   *
   * @param name names them at the servers; no other attempt may have it, since a reservation of an
   *     attempt that has ended may still be released
   */
  HelperReservations(
      Timing timing,
      BackendClient backends,
      EventLog log,
      Function<BackendServer, Renewal> renewalAt,
      RequestId request,
      String name,
      ImmutableList<BackendServer> servers,
      long tokens) {
    this.timing = timing;
    this.backends = backends;
    this.log = log;
    this.renewalAt = renewalAt;
    this.request = request;
    this.name = name;
    this.servers = servers;
    this.tokens = tokens;
  }

  /** Reserves the memory; the callback receives whether all helpers have reserved it. */
  void reserve(Consumer<Boolean> callback) {
    for (BackendServer server : servers) {
      backends.reserve(
          server,
          reservationName(),
          tokens,
          RESERVATION_DURATION,
          result -> timing.scheduler().execute(() -> onReserved(server, result, callback)));
    }
  }

  /** Returns the name of the reservation, which is the same on each server. */
  String reservationName() {
    return name;
  }

  /** Returns the helper that has refused to reserve the memory; empty if none has. */
  Optional<ReplicaId> refusingServer() {
    return Optional.ofNullable(refusingServer);
  }

  private void onReserved(
      BackendServer helper, BackendClient.ReserveResult result, Consumer<Boolean> callback) {
    outcomeUnknown |= result == BackendClient.ReserveResult.UNKNOWN;
    if (completed) {
      return;
    }
    if (result != BackendClient.ReserveResult.RESERVED) {
      if (result == BackendClient.ReserveResult.REFUSED) {
        refusingServer = helper.id();
      }
      log.write(
          "reservation.failed",
          ImmutableMap.of(
              "request", request.value(), "server", helper.id().value(), "result", result));
      completed = true;
      callback.accept(false);
    } else if (++reservedCount == servers.size()) {
      completed = true;
      renewalTask = timing.scheduleRepeatedly(RENEWAL_PERIOD, this::renew);
      callback.accept(true);
    }
  }

  /**
   * Renews the reservations where the server wants it: a renewal is a request, too. A reservation
   * that lapses during a pause breaks its request off, which is then handled as at a lost server.
   */
  private void renew() {
    renewals++;
    for (BackendServer server : servers) {
      if (!renewalAt.apply(server).isDue(renewals)) {
        continue;
      }
      backends.reserve(
          server,
          reservationName(),
          tokens,
          RESERVATION_DURATION,
          result ->
              timing
                  .scheduler()
                  .execute(() -> outcomeUnknown |= result == BackendClient.ReserveResult.UNKNOWN));
    }
  }

  /**
   * Releases the memory, repeatedly while a late reservation may still take effect; also on paused
   * servers, which would keep it for nothing.
   */
  void release() {
    if (released) {
      return;
    }
    released = true;
    completed = true;
    Future<?> task = renewalTask;
    if (task != null) {
      task.cancel(false);
    }
    releaseUntil(timing.nanoTime() + LATE_RESERVATION_BOUND.toNanos());
  }

  private void releaseUntil(long endNanos) {
    servers.forEach(server -> backends.release(server, reservationName()));
    timing.schedule(
        RENEWAL_PERIOD,
        () -> {
          if (outcomeUnknown && timing.nanoTime() < endNanos) {
            releaseUntil(endNanos);
          }
        });
  }
}
