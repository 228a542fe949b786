package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.Optional;

/**
 * Selects the server of one attempt, with the engines and the memory that the attempt uses there.
 * Runs on the relay's executor.
 */
final class ServerSelection implements EngineAllocation.Callback {

  /** Receives the outcome of a selection. */
  interface Callback {
    /** Called when the request can be sent. */
    void onSelected(
        BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected);

    /** Called when the selected server cannot be used; another selection may succeed. */
    void onUnusable(RelayRefusal reason);

    /** Called when no server accepts the request now. */
    void onNoServer(RelayRefusal reason, Duration retryAfter);
  }

  private final CallScope scope;
  private final RequestId placementId;
  private final Callback callback;
  private final EngineAllocation allocation;

  /**
   * Creates a selection that has not begun.
   *
   * @param placementId the name under which engines are allocated; unique among open attempts
   */
  ServerSelection(CallScope scope, RequestId placementId, Callback callback) {
    this.scope = scope;
    this.placementId = placementId;
    this.callback = callback;
    allocation = new EngineAllocation(scope.node(), this);
  }

  /** Selects a server; the callback runs at once or later. */
  void select() {
    RelayNode node = scope.node();
    Optional<String> blockedPart = node.blockedParts().blockedPartOf(scope.request().promptParts());
    Optional<Duration> pause = scope.candidates().shortestPause();
    Optional<Duration> coldWait = scope.candidates().timeUntilColdServerIsFree();
    if (blockedPart.isPresent()) {
      onBlocked(blockedPart.get());
    } else if (pause.isPresent()) {
      callback.onNoServer(RelayRefusal.SERVERS_PAUSED, pause.get());
    } else if (coldWait.isPresent()) {
      callback.onNoServer(RelayRefusal.OVERLOADED, coldWait.get());
    } else if (scope.isGeneration()) {
      allocation.allocate(scope.toPlacementRequest(placementId));
    } else {
      selectOutsidePool();
    }
  }

  private void selectOutsidePool() {
    CandidateServers candidates = scope.candidates();
    Optional<BackendServer> server = candidates.choose();
    if (server.isEmpty()) {
      callback.onNoServer(candidates.absenceReason(), candidates.retryAfter());
    } else if (scope.weighsAnswers()) {
      allocation.allocate(scope.toWeighedRequest(placementId));
    } else if (scope.node().backendLimits().isLimited(server.get())) {
      allocation.allocate(scope.toLimitRequest(placementId));
    } else {
      selected(server.get(), ImmutableList.of(), scope.route().timeout());
    }
  }

  /** Checks a cold server's bound again, since requests may have been held back until now. */
  private void selected(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    if (scope.node().backendLimits().ramps().tryTakeSend(server)) {
      callback.onSelected(server, helpers, expected);
    } else {
      callback.onUnusable(RelayRefusal.OVERLOADED);
    }
  }

  /** Reports that the first event of the attempt's response has arrived. */
  void onFirstEvent() {
    allocation.onFirstEvent();
  }

  /** Releases engines and memory; {@link #select} may be called again. */
  void release() {
    allocation.release();
  }

  /**
   * Releases everything; engines that are granted later are released at once.
   *
   * @param completed whether the response is complete
   */
  void close(boolean completed) {
    allocation.close(completed);
  }

  @Override
  public void onAllocated(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    // The target of a plain request says nothing of how long a sound server may be silent.
    selected(server, helpers, scope.weighsAnswers() ? scope.route().timeout() : expected);
  }

  @Override
  public void onUnusable(Optional<ReplicaId> server, RelayRefusal reason) {
    server.ifPresent(scope.candidates()::excludeUnusable);
    callback.onUnusable(reason);
  }

  @Override
  public void onFull(Duration retryAfter) {
    if (scope.isGeneration() || scope.weighsAnswers()) {
      callback.onNoServer(RelayRefusal.OVERLOADED, retryAfter);
      return;
    }
    scope.candidates().excludeLimited(retryAfter);
    select();
  }

  @Override
  public void onBlocked(String part) {
    callback.onNoServer(RelayRefusal.PROMPT_BLOCKED, scope.node().blockedParts().remaining(part));
  }
}
