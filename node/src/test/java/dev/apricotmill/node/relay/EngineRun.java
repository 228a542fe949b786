package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.ServerNotice;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** One request of a node at one server. */
final class EngineRun implements BackendClient.Exchange {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final BackendClient.BackendRequest request;
  private final int attempt;
  private final EngineConnections connections;
  private final BackendClient.ResponseListener listener;
  private long lastEvent;
  private boolean ended;

  EngineRun(
      BackendClient.BackendRequest request,
      int attempt,
      EngineConnections connections,
      BackendClient.ResponseListener listener) {
    this.request = request;
    this.attempt = attempt;
    this.connections = connections;
    this.listener = listener;
    lastEvent = request.resumeAfterEvent().orElse(0);
  }

  BackendClient.BackendRequest request() {
    return request;
  }

  /** Returns the connections of the node that sent the request. */
  EngineConnections connections() {
    return connections;
  }

  boolean hasEnded() {
    return ended;
  }

  boolean isStream() {
    return request.request().size().isPresent();
  }

  void head(FleetServer server, ServerNotice notice) {
    respond(server, notice, OK, false, Optional.empty());
  }

  /** Ends the request with a refusal that states that it was not run. */
  void refuse(FleetServer server, ServerNotice notice, Optional<String> faultyServer) {
    respond(server, notice, UNAVAILABLE, true, faultyServer);
    complete();
  }

  /** Ends the run with an error that states nothing on whether it ran. */
  void failWithError(FleetServer server, int status, ServerNotice notice) {
    respond(server, notice, status, false, Optional.empty());
    complete();
  }

  private void respond(
      FleetServer server,
      ServerNotice notice,
      int status,
      boolean notRun,
      Optional<String> faultyServer) {
    BackendClient.Head head =
        new BackendClient.Head(
            status,
            ImmutableMap.of(EngineFleet.ATTEMPT, Integer.toString(attempt)),
            notRun,
            faultyServer);
    connections.deliver(
        () -> {
          connections.notice(server, request.server(), notice);
          listener.onHead(head);
        });
  }

  void event() {
    body("id: " + ++lastEvent + "\ndata: word\n\n");
  }

  void body(String text) {
    byte[] chunk = text.getBytes(StandardCharsets.UTF_8);
    connections.deliver(() -> listener.onBody(chunk));
  }

  void complete() {
    ended = true;
    connections.deliver(listener::onEnd);
  }

  void fail(boolean maybeSent) {
    if (!ended) {
      ended = true;
      connections.deliver(() -> listener.onFailure(maybeSent, BackendFailure.CONNECTION_LOST));
    }
  }

  @Override
  public void cancel() {
    ended = true;
  }

  @Override
  public void pauseReading() {}

  @Override
  public void resumeReading() {}
}
