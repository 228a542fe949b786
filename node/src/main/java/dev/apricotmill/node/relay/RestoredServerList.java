package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Corrects the list of a store that was restored from an older copy by what was known before.
 *
 * <p>Until a server writes its entry again, the copy may lack it, or may name it as ready though it
 * has since begun to leave or has left. Not thread-safe.
 */
final class RestoredServerList {

  /** Live servers have written their entries again by then. */
  static final Duration REWRITE_TIME = Duration.ofSeconds(3);

  /** A server that was leaving or gone has ended by then, and the store has removed its entry. */
  static final Duration DEPARTURE_TIME = Duration.ofSeconds(30);

  /** Copies are some seconds old. */
  private static final Duration COPY_AGE = Duration.ofMinutes(1);

  private Map<ReplicaId, BackendServer> known = ImmutableMap.of();
  private final Map<LeavingServers.Instance, Long> goneAtNanos = new LinkedHashMap<>();
  private final Map<ReplicaId, Correction> corrections = new HashMap<>();

  /**
   * What replaces the entry of a server.
   *
   * @param server the server as it was known, or as leaving
   * @param listed whether the copy has an entry of it
   * @param untilNanos when the store's list is believed again
   */
  private record Correction(BackendServer server, boolean listed, long untilNanos) {}

  /**
   * Returns a list of the store, corrected.
   *
   * @param written the servers whose entries have been written since the last call
   */
  ImmutableMap<ReplicaId, BackendServer> read(
      Map<ReplicaId, BackendServer> list, Set<ReplicaId> written, long nowNanos) {
    written.forEach(corrections::remove);
    return correct(list, nowNanos);
  }

  /** Returns the first list that a store gives after it was restored, corrected. */
  ImmutableMap<ReplicaId, BackendServer> restore(
      Map<ReplicaId, BackendServer> list, long nowNanos) {
    long rewrittenNanos = nowNanos + REWRITE_TIME.toNanos();
    long departedNanos = nowNanos + DEPARTURE_TIME.toNanos();
    known.forEach(
        (id, server) -> {
          if (!list.containsKey(id)) {
            corrections.put(id, new Correction(server, false, rewrittenNanos));
          }
        });
    list.forEach(
        (id, server) -> {
          if (server.ready() && wasLeavingOrGone(server)) {
            corrections.put(id, new Correction(server.asLeaving(), true, departedNanos));
          }
        });
    return correct(list, nowNanos);
  }

  private boolean wasLeavingOrGone(BackendServer server) {
    BackendServer before = known.get(server.id());
    boolean wasLeaving =
        before != null && before.startedMillis() == server.startedMillis() && !before.ready();
    return wasLeaving || goneAtNanos.containsKey(LeavingServers.Instance.of(server));
  }

  /** Returns whether the next call may return another list although the store's is the same. */
  boolean isCorrected() {
    return !corrections.isEmpty();
  }

  private ImmutableMap<ReplicaId, BackendServer> correct(
      Map<ReplicaId, BackendServer> list, long nowNanos) {
    corrections.values().removeIf(correction -> correction.untilNanos() - nowNanos <= 0);
    Map<ReplicaId, BackendServer> corrected = new LinkedHashMap<>(list);
    corrections.forEach(
        (id, correction) -> {
          BackendServer listed = list.get(id);
          if (correction.listed() ? isSameInstance(listed, correction.server()) : listed == null) {
            corrected.put(id, correction.server());
          }
        });
    rememberGone(corrected, nowNanos);
    known = corrected;
    return ImmutableMap.copyOf(corrected);
  }

  private static boolean isSameInstance(
      @org.jspecify.annotations.Nullable BackendServer listed, BackendServer server) {
    return listed != null && listed.startedMillis() == server.startedMillis();
  }

  private void rememberGone(Map<ReplicaId, BackendServer> list, long nowNanos) {
    goneAtNanos.values().removeIf(at -> nowNanos - at > COPY_AGE.toNanos());
    known
        .values()
        .forEach(
            server -> {
              if (!isSameInstance(list.get(server.id()), server)) {
                goneAtNanos.put(LeavingServers.Instance.of(server), nowNanos);
              }
            });
    list.values().stream()
        .filter(BackendServer::ready)
        .map(LeavingServers.Instance::of)
        .forEach(goneAtNanos::remove);
  }
}
