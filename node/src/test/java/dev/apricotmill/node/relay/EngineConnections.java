package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The connections of one node to the servers of an {@link EngineFleet}. */
final class EngineConnections implements BackendClient {

  private final EngineFleet fleet;
  private final int node;
  private final BooleanSupplier frozen;
  private final ServerNoticeListener notices;
  private final List<EngineRun> runs = new ArrayList<>();
  private final List<Runnable> undelivered = new ArrayList<>();

  /**
   * Creates the connections of a node.
   *
   * @param frozen whether the node's process stands still
   */
  EngineConnections(
      EngineFleet fleet, int node, BooleanSupplier frozen, ServerNoticeListener notices) {
    this.fleet = fleet;
    this.node = node;
    this.frozen = frozen;
    this.notices = notices;
  }

  int node() {
    return node;
  }

  @Override
  public Exchange send(BackendRequest request, ResponseListener listener) {
    EngineRun run = new EngineRun(request, fleet.countAttempt(request.request()), this, listener);
    runs.removeIf(EngineRun::hasEnded);
    runs.add(run);
    fleet.send(run);
    return run;
  }

  @Override
  public void reserve(
      BackendServer server,
      String reservation,
      long tokens,
      Duration duration,
      Consumer<ReserveResult> callback) {
    fleet.reserve(this, server, reservation, callback);
  }

  @Override
  public void release(BackendServer server, String reservation) {}

  /** Lets the node handle something that it receives, once its process runs. */
  void deliver(Runnable event) {
    if (frozen.getAsBoolean()) {
      undelivered.add(event);
    } else {
      event.run();
    }
  }

  /** Lets the node handle what it received while it stood still. */
  void deliverAll() {
    undelivered.forEach(Runnable::run);
    undelivered.clear();
  }

  /** Tells the node what a server says of itself; part of a delivered event. */
  void notice(FleetServer server, BackendServer known, ServerNotice notice) {
    if (!notice.equals(ServerNotice.NONE)) {
      fleet.recordNotice(this, server, notice);
      notices.onNotice(known, notice);
    }
  }

  /** Closes all connections, as the end of the node's process does. */
  void close() {
    runs.forEach(EngineRun::cancel);
  }
}
