package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Finds engines for a request, reserves memory where it is needed, and gives both back. Runs on the
 * relay's executor.
 */
final class EngineChoice {

  /** Takes the engines that were found. */
  interface Result {
    /** The request can be sent. */
    void onEngines(
        BackendServer server, ImmutableList<BackendPort.Helper> helpers, Duration expected);

    /** The engines that were named cannot be used; others may be. */
    void onUnusable(Optional<ReplicaId> server, RelayRefusal reason);

    /** No engine takes the request now. */
    void onFull(Duration comeBack);
  }

  private final RelayNode node;
  private final Result result;
  private @Nullable PlacementRequest placed;
  private @Nullable PartReservations reservations;
  private boolean ended;

  EngineChoice(RelayNode node, Result result) {
    this.node = node;
    this.result = result;
  }

  /** Asks for engines; the result comes at once or later. */
  void find(PlacementRequest ask) {
    node.placements().place(ask, placement -> onPlaced(ask, placement));
  }

  /** Tells that the first event has come. */
  void firstEvent() {
    PlacementRequest current = placed;
    if (current != null) {
      node.placements().firstEvent(current.service(), current.requestId());
    }
  }

  /** Gives engines and memory back; more may be asked for. */
  void release() {
    PartReservations held = reservations;
    if (held != null) {
      reservations = null;
      held.release();
    }
    PlacementRequest current = placed;
    if (current != null) {
      placed = null;
      node.placements().ended(current.service(), current.requestId());
    }
  }

  /** Gives all back for good; what is found later is given back at once. */
  void end() {
    ended = true;
    release();
  }

  private void onPlaced(PlacementRequest ask, Placement placement) {
    if (ended) {
      node.placements().ended(ask.service(), ask.requestId());
    } else if (placement instanceof Placement.Granted granted) {
      placed = ask;
      use(ask, granted);
    } else if (placement instanceof Placement.Full full) {
      result.onFull(full.retryAfter());
    }
  }

  private void use(PlacementRequest ask, Placement.Granted granted) {
    ImmutableMap<ReplicaId, BackendServer> servers =
        node.view().servers().map(ServerTable::all).orElse(ImmutableMap.of());
    BackendServer server = servers.get(granted.server());
    if (server == null || !server.ready()) {
      // The dispatcher has not seen yet that the server is leaving.
      result.onUnusable(Optional.of(granted.server()), RelayRefusal.NO_SERVER);
      return;
    }
    ImmutableList<BackendServer> helpers =
        granted.helpers().stream()
            .map(servers::get)
            .filter(Objects::nonNull)
            .filter(BackendServer::ready)
            .collect(ImmutableList.toImmutableList());
    if (granted.reservedTokens() == 0) {
      result.onEngines(server, named(helpers, Optional.empty()), granted.expectedFirstEvent());
    } else if (helpers.size() < granted.helpers().size()) {
      result.onUnusable(Optional.empty(), RelayRefusal.NO_SERVER);
    } else {
      reserve(ask, server, helpers, granted);
    }
  }

  private void reserve(
      PlacementRequest ask,
      BackendServer server,
      ImmutableList<BackendServer> helpers,
      Placement.Granted granted) {
    PartReservations parts =
        node.newReservations(ask.requestId(), helpers, granted.reservedTokens());
    reservations = parts;
    parts.reserve(
        all -> {
          if (ended) {
            return;
          }
          if (all) {
            result.onEngines(
                server, named(helpers, Optional.of(parts.name())), granted.expectedFirstEvent());
          } else {
            result.onUnusable(Optional.empty(), RelayRefusal.OVERLOADED);
          }
        });
  }

  private static ImmutableList<BackendPort.Helper> named(
      ImmutableList<BackendServer> helpers, Optional<String> reservation) {
    return helpers.stream()
        .map(helper -> new BackendPort.Helper(helper.address(), reservation))
        .collect(ImmutableList.toImmutableList());
  }
}
