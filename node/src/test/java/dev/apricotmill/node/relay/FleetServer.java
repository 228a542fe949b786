package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.IntPredicate;

/** One instance of a server, with the requests that it runs and what it says of itself. */
final class FleetServer {

  private final BackendServer server;
  private final List<EngineRun> runs = new ArrayList<>();
  private final Set<String> reservations = new HashSet<>();
  private ListEntry entry = ListEntry.READY;
  private boolean alive = true;
  private boolean leaving;
  private Duration pausedUntil = Duration.ZERO;
  private IntPredicate pausedNodes = node -> false;
  private OptionalDouble requestsPerSecond = OptionalDouble.empty();
  private Duration coldUntil = Duration.ZERO;
  private long entryVersion;

  FleetServer(BackendServer server) {
    this.server = server;
  }

  /** What the platform's list says of a server. */
  enum ListEntry {
    READY {
      @Override
      Optional<BackendServer> of(BackendServer server) {
        return Optional.of(server);
      }
    },
    DRAINING {
      @Override
      Optional<BackendServer> of(BackendServer server) {
        return Optional.of(
            new BackendServer(
                server.id(),
                server.service(),
                server.address(),
                server.zone(),
                server.slots(),
                false,
                server.startedMillis()));
      }
    },
    ABSENT {
      @Override
      Optional<BackendServer> of(BackendServer server) {
        return Optional.empty();
      }
    };

    abstract Optional<BackendServer> of(BackendServer server);
  }

  /**
   * How a server leaves.
   *
   * @param entry what the platform's list says of it before it ends
   * @param entryDelay the time until the list says so
   * @param lifetime the time until it ends
   * @param keepsId whether its successor has the same identifier
   */
  record Departure(ListEntry entry, Duration entryDelay, Duration lifetime, boolean keepsId) {}

  /** An identifier alone may name several instances, one after the other. */
  record Instance(ReplicaId id, long startedMillis) {
    @Override
    public String toString() {
      return id.value() + "/" + startedMillis % 1_000_000;
    }
  }

  /** What the entry of a cold server says. */
  record ColdEntry(Instance server, long version, Duration left) {}

  /** Makes the server cold, and has its entry say so. */
  void turnCold(Duration until) {
    coldUntil = until;
    entryVersion++;
  }

  /** Returns what the entry says of the warm-up, unless it is over. */
  Optional<ColdEntry> coldEntry(Duration now) {
    return now.compareTo(coldUntil) < 0
        ? Optional.of(new ColdEntry(instance(), entryVersion, coldUntil.minus(now)))
        : Optional.empty();
  }

  Instance instance() {
    return new Instance(server.id(), server.startedMillis());
  }

  BackendServer server() {
    return server;
  }

  Optional<BackendServer> entry() {
    return entry.of(server);
  }

  void setEntry(ListEntry newEntry) {
    entry = newEntry;
  }

  List<EngineRun> runs() {
    return runs;
  }

  boolean isAlive() {
    return alive;
  }

  boolean isLeaving() {
    return leaving;
  }

  void beginToLeave() {
    leaving = true;
  }

  /** Refuses the requests of some nodes for a while. */
  void pause(Duration until, IntPredicate nodes) {
    pausedUntil = until;
    pausedNodes = nodes;
  }

  /** Returns whether some nodes' requests are refused. */
  boolean isPaused(Duration now) {
    return now.compareTo(pausedUntil) < 0;
  }

  boolean isPausedFor(int node, Duration now) {
    return isPaused(now) && pausedNodes.test(node);
  }

  /** Names this limit in each response from now on. */
  void setRequestsPerSecond(OptionalDouble newRequestsPerSecond) {
    requestsPerSecond = newRequestsPerSecond;
  }

  boolean holds(String reservation) {
    return reservations.contains(reservation);
  }

  void reserve(String reservation) {
    reservations.add(reservation);
  }

  /** Returns what a refusal, or an error with its status, says of this server. */
  ServerNotice refusalNotice(int node, Duration now) {
    return new ServerNotice(
        leaving,
        isPausedFor(node, now) ? Optional.of(pausedUntil.minus(now)) : Optional.empty(),
        requestsPerSecond);
  }

  /** Returns what any other response says of this server. */
  ServerNotice runNotice() {
    return new ServerNotice(leaving, Optional.empty(), requestsPerSecond);
  }

  /** Ends this instance with all that it runs. */
  void end() {
    alive = false;
    runs.forEach(run -> run.fail(true));
    runs.clear();
  }
}
