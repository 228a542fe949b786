package dev.apricotmill.core.pool;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.fairness.GcraLimiter;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The slow starts of all server instances, as the node knows them that grants requests.
 *
 * <p>Handles the start or the recovery of one server or of a whole zone under full load: each
 * server gets requests as fast as it answers them, and a cold one at most at the rate that it
 * tolerates. Not thread-safe.
 */
public final class RampingServers {

  /** The time whose requests may be granted at once to a cold server. */
  private static final Duration BURST = Duration.ofMillis(100);

  private final Map<ReplicaId, Entry> entries = new LinkedHashMap<>();

  /** The servers of the requests whose responses have not begun. */
  private final Map<RequestId, ReplicaId> open = new HashMap<>();

  /** Why a server starts slowly. */
  public enum Cause {
    STARTED,
    COLD,
    FAILED
  }

  /**
   * The end of a ramp.
   *
   * @param server the server
   * @param lasted how long the ramp lasted
   */
  public record Ended(BackendServer server, Duration lasted) {}

  private record Entry(BackendServer server, ServerRamp ramp, GcraLimiter coldRate) {

    boolean isOf(BackendServer other) {
      return LimitedServers.Instance.of(server).equals(LimitedServers.Instance.of(other));
    }
  }

  /** Returns whether no server starts slowly. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the number of servers that start slowly. */
  public int size() {
    return entries.size();
  }

  /** Begins the ramp of an instance and returns true, unless it has one. */
  public boolean begin(BackendServer server, long nowNanos) {
    Entry entry = entries.get(server.id());
    if (entry != null && entry.isOf(server)) {
      return false;
    }
    entries.put(
        server.id(),
        new Entry(
            server, new ServerRamp(server.slots(), nowNanos), new GcraLimiter(BURST, nowNanos)));
    return true;
  }

  /** Returns the time until a server may get a request; zero if it may now. */
  public Duration timeUntilFree(BackendServer server, long nowNanos) {
    return find(server)
        .map(
            entry ->
                Comparators.max(
                    entry.ramp().timeUntilFree(nowNanos),
                    Duration.ofNanos(entry.coldRate().take(0, nowNanos))))
        .orElse(Duration.ZERO);
  }

  /**
   * Records that a request goes to a server.
   *
   * @param allowed the time in which its response must begin to be on time
   */
  public void onGranted(BackendServer server, RequestId request, Duration allowed, long nowNanos) {
    find(server)
        .ifPresent(
            entry -> {
              entry.ramp().onGranted(request, allowed, nowNanos);
              open.put(request, server.id());
            });
  }

  /** Takes a request from the rate that this node may grant of a cold server. */
  public void takeFromColdRate(BackendServer server, double requestsPerSecond, long nowNanos) {
    find(server)
        .ifPresent(
            entry -> entry.coldRate().take(GcraLimiter.cost(1, requestsPerSecond), nowNanos));
  }

  /** Records that the response to a request has begun. */
  public void onAnswered(RequestId request, long nowNanos) {
    rampOf(request).ifPresent(ramp -> ramp.onAnswered(request, nowNanos));
  }

  /** Records that a request has ended; if its response had not begun, this tells little. */
  public void onReleased(RequestId request, long nowNanos) {
    rampOf(request).ifPresent(ramp -> ramp.onReleased(request, nowNanos));
  }

  private Optional<ServerRamp> rampOf(RequestId request) {
    return Optional.ofNullable(open.remove(request)).map(entries::get).map(Entry::ramp);
  }

  /** Records that a server has failed a request. */
  public void onFailure(BackendServer server, long nowNanos) {
    find(server).ifPresent(entry -> entry.ramp().onFailure(nowNanos));
  }

  /**
   * Ends the ramps that are complete and those of instances that are gone.
   *
   * @param cold whether a server is cold; its ramp goes on
   */
  public ImmutableList<Ended> endComplete(
      ImmutableSet<LimitedServers.Instance> listed, Predicate<BackendServer> cold, long nowNanos) {
    ImmutableList<Ended> ended =
        entries.values().stream()
            .filter(
                entry ->
                    !listed.contains(LimitedServers.Instance.of(entry.server()))
                        || (entry.ramp().isComplete(nowNanos) && !cold.test(entry.server())))
            .map(entry -> new Ended(entry.server(), entry.ramp().duration(nowNanos)))
            .collect(ImmutableList.toImmutableList());
    if (!ended.isEmpty()) {
      ended.forEach(end -> entries.remove(end.server().id()));
      Set<ReplicaId> left = entries.keySet();
      open.values().removeIf(server -> !left.contains(server));
    }
    return ended;
  }

  /** Returns how many responses a server may owe; empty if it has no ramp. */
  public Optional<Integer> window(BackendServer server) {
    return find(server).map(entry -> entry.ramp().window());
  }

  private Optional<Entry> find(BackendServer server) {
    return Optional.ofNullable(entries.get(server.id())).filter(entry -> entry.isOf(server));
  }
}
