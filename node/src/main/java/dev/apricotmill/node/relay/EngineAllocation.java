package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Allocates engines to a request, reserves memory on helpers if needed, and releases both. Runs on
 * the relay's executor.
 */
final class EngineAllocation {

  /** Receives the outcome of an allocation. */
  interface Callback {
    /** Called when the request can be sent. */
    void onAllocated(
        BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected);

    /** Called when the chosen engines cannot be used; a new allocation may succeed. */
    void onUnusable(Optional<ReplicaId> server, RelayRefusal reason);

    /** Called when no engine accepts the request now. */
    void onFull(Duration retryAfter);

    /** Called when the prompt has a part that crashes engines. */
    void onBlocked(String part);
  }

  private final RelayNode node;
  private final Callback callback;
  private @Nullable PlacementRequest activeRequest;
  private @Nullable HelperReservations reservations;
  private int allocations;
  private int reservationAttempts;
  private boolean closed;

  EngineAllocation(RelayNode node, Callback callback) {
    this.node = node;
    this.callback = callback;
  }

  /**
   * Requests engines; the callback runs at once or later. Each allocation has a name of its own:
   * the end of one is reported some milliseconds late, and must not end the placement of the next.
   */
  void allocate(PlacementRequest placementRequest) {
    PlacementRequest named = allocations == 0 ? placementRequest : withNextName(placementRequest);
    allocations++;
    RequestId id = placementRequest.requestId();
    node.placer().place(named, placement -> onPlaced(id, named, placement));
  }

  private PlacementRequest withNextName(PlacementRequest placementRequest) {
    String name = placementRequest.requestId().value() + ".again" + allocations;
    return placementRequest.withId(new RequestId(name));
  }

  /** Reports that the first event has arrived. */
  void onFirstEvent() {
    PlacementRequest request = activeRequest;
    if (request != null) {
      node.placer().firstEvent(request.service(), request.requestId());
    }
  }

  /** Releases engines and memory; {@link #allocate} may be called again. */
  void release() {
    release(false);
  }

  private void release(boolean completed) {
    HelperReservations currentReservations = reservations;
    if (currentReservations != null) {
      reservations = null;
      currentReservations.release();
    }
    PlacementRequest request = activeRequest;
    if (request != null) {
      activeRequest = null;
      node.placer().ended(request.service(), request.requestId(), completed);
    }
  }

  /**
   * Releases everything; engines that are granted later are released at once.
   *
   * @param completed whether the response is complete
   */
  void close(boolean completed) {
    closed = true;
    release(completed);
  }

  private void onPlaced(RequestId id, PlacementRequest placementRequest, Placement placement) {
    if (closed) {
      node.placer().ended(placementRequest.service(), placementRequest.requestId(), false);
    } else if (placement instanceof Placement.Granted granted) {
      activeRequest = placementRequest;
      onGranted(id, granted);
    } else if (placement instanceof Placement.Full full) {
      callback.onFull(full.retryAfter());
    } else if (placement instanceof Placement.Blocked blocked) {
      callback.onBlocked(blocked.part());
    }
  }

  private void onGranted(RequestId id, Placement.Granted granted) {
    ImmutableMap<ReplicaId, BackendServer> servers =
        node.view().servers().map(ServerTable::serversById).orElse(ImmutableMap.of());
    BackendServer server = servers.get(granted.server());
    if (server == null || !server.ready()) {
      // The dispatcher does not know yet that the server is leaving.
      callback.onUnusable(Optional.of(granted.server()), RelayRefusal.NO_SERVER);
      return;
    }
    if (!node.pauses().accepts(server)) {
      callback.onUnusable(Optional.empty(), RelayRefusal.SERVERS_PAUSED);
      return;
    }
    ImmutableList<BackendServer> helpers =
        granted.helpers().stream()
            .map(servers::get)
            .filter(Objects::nonNull)
            .filter(BackendServer::ready)
            .filter(node.pauses()::accepts)
            .filter(helper -> !ramps().isCold(helper))
            .collect(ImmutableList.toImmutableList());
    if (granted.reservedTokens() == 0) {
      callback.onAllocated(
          server, toHelpers(helpers, Optional.empty()), granted.expectedFirstEvent());
    } else if (helpers.size() < granted.helpers().size()) {
      callback.onUnusable(firstUnusableHelper(granted, helpers), RelayRefusal.NO_SERVER);
    } else {
      reserve(id, server, helpers, granted);
    }
  }

  private void reserve(
      RequestId id,
      BackendServer server,
      ImmutableList<BackendServer> helpers,
      Placement.Granted granted) {
    HelperReservations newReservations =
        node.newHelperReservations(
            id, id.value() + "." + ++reservationAttempts, helpers, granted.reservedTokens());
    reservations = newReservations;
    helpers.forEach(ramps()::tryTakeSend);
    newReservations.reserve(
        allReserved -> {
          if (closed) {
            return;
          }
          Optional<ReplicaId> unusable =
              Stream.concat(Stream.of(server), helpers.stream())
                  .filter(engine -> !isStillReady(engine) || isColdHelper(engine, server))
                  .map(BackendServer::id)
                  .findFirst();
          if (unusable.isPresent()) {
            callback.onUnusable(unusable, RelayRefusal.NO_SERVER);
          } else if (!node.pauses().accepts(server)
              || helpers.stream().anyMatch(node.pauses()::isPaused)) {
            callback.onUnusable(Optional.empty(), RelayRefusal.SERVERS_PAUSED);
          } else if (allReserved) {
            callback.onAllocated(
                server,
                toHelpers(helpers, Optional.of(newReservations.reservationName())),
                granted.expectedFirstEvent());
          } else {
            callback.onUnusable(newReservations.refusingServer(), RelayRefusal.OVERLOADED);
          }
        });
  }

  /** Returns whether a server still accepts requests, and has not started again. */
  private boolean isStillReady(BackendServer server) {
    return node.view().readyServers(server.service()).stream()
        .anyMatch(
            ready ->
                ready.id().equals(server.id()) && ready.startedMillis() == server.startedMillis());
  }

  /** A part of a prompt is a request to its helper, and a cold server would prefill it slowly. */
  private boolean isColdHelper(BackendServer engine, BackendServer generating) {
    return !engine.id().equals(generating.id()) && ramps().isCold(engine);
  }

  private ServerRamps ramps() {
    return node.backendLimits().ramps();
  }

  private static Optional<ReplicaId> firstUnusableHelper(
      Placement.Granted granted, ImmutableList<BackendServer> usable) {
    return granted.helpers().stream()
        .filter(helper -> usable.stream().noneMatch(server -> server.id().equals(helper)))
        .findFirst();
  }

  private static ImmutableList<BackendClient.Helper> toHelpers(
      ImmutableList<BackendServer> helpers, Optional<String> reservation) {
    return helpers.stream()
        .map(helper -> new BackendClient.Helper(helper.address(), reservation))
        .collect(ImmutableList.toImmutableList());
  }
}
