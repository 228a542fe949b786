package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.BackendServer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The servers as one node reaches them: they respond, refuse, fail, break off and fall silent at
 * random, so that requests are retried, resumed and tried beside a silent server.
 */
final class EvacuationBackends implements BackendClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final int OUTCOMES = 14;

  private final EvacuationFleet fleet;
  private final EvacuationNode node;
  private final Set<String> reservations = new HashSet<>();

  EvacuationBackends(EvacuationFleet fleet, EvacuationNode node) {
    this.fleet = fleet;
    this.node = node;
  }

  @Override
  public Exchange send(BackendRequest request, ResponseListener listener) {
    String zone = request.server().zone().name();
    fleet.recordSend(node, zone, "a request");
    for (Helper helper : request.helpers()) {
      fleet.recordSend(node, fleet.zoneAt(helper.address()), "a part of a prompt");
    }
    if (!fleet.isLinked(node.member().zone().name(), zone)) {
      later(CONNECT_TIMEOUT, () -> listener.onFailure(false, BackendFailure.CONNECTION_LOST));
    } else {
      respond(request, listener);
    }
    return new Exchange() {
      @Override
      public void cancel() {}

      @Override
      public void pauseReading() {}

      @Override
      public void resumeReading() {}
    };
  }

  private void respond(BackendRequest request, ResponseListener listener) {
    int outcome = fleet.random().nextInt(OUTCOMES);
    Duration delay = Duration.ofMillis(1 + fleet.random().nextInt(300));
    Duration end = delay.plusMillis(1 + fleet.random().nextInt(900));
    byte[] event =
        ("id: " + (request.resumeAfterEvent().orElse(0) + 1) + "\n\n")
            .getBytes(StandardCharsets.UTF_8);
    switch (outcome) {
      case 0 -> later(delay, () -> listener.onHead(head(503, true)));
      case 1 -> later(delay, () -> listener.onFailure(true, BackendFailure.CONNECTION_LOST));
      case 2 -> later(delay, () -> listener.onFailure(false, BackendFailure.CONNECTION_LOST));
      default -> {
        later(
            delay,
            () -> {
              listener.onHead(head(200, false));
              listener.onBody(event);
            });
        if (outcome == 3) {
          later(end, () -> listener.onFailure(true, BackendFailure.CONNECTION_LOST));
        } else if (outcome > 5) {
          later(end, listener::onEnd);
        }
      }
    }
  }

  private static Head head(int status, boolean notRun) {
    return new Head(status, ImmutableMap.of(), notRun, Optional.empty());
  }

  private void later(Duration delay, Runnable task) {
    fleet.network().schedule(delay, task);
  }

  @Override
  public void reserve(
      BackendServer server,
      String reservation,
      long tokens,
      Duration duration,
      Consumer<ReserveResult> callback) {
    if (reservations.add(server.id().value() + " " + reservation)) {
      fleet.recordSend(node, server.zone().name(), "a new reservation");
    }
    ReserveResult result =
        fleet.random().nextInt(10) == 0 ? ReserveResult.REFUSED : ReserveResult.RESERVED;
    later(Duration.ofMillis(1 + fleet.random().nextInt(200)), () -> callback.accept(result));
  }

  @Override
  public void release(BackendServer server, String reservation) {}
}
