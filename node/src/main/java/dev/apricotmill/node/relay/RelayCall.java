package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.PlacementAsk;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * One admitted request: sends it, sends it again where that is allowed, and answers the caller
 * once.
 *
 * <p>Runs on the relay's executor; so do the reports of its sends.
 */
final class RelayCall
    implements BackendAttempt.Listener, EngineAllocation.Callback, CallerConnection.Listener {

  /** Connections that may fail before a byte is sent; each failure takes a connect timeout. */
  private static final int MAX_FAILED_CONNECTIONS = 3;

  /** With less time than this left, a further send cannot be answered. */
  private static final Duration MIN_TIME_FOR_RETRY = Duration.ofMillis(50);

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

  private final RelayNode node;
  private final RelayRequest request;
  private final CallerConnection caller;
  private final RequestAuthorizer.Decision.Allowed allowed;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final Set<ReplicaId> excludedServers = new HashSet<>();
  private final RelayResponse response;
  private final CallLog log;
  private final EngineAllocation allocation;
  private final FlowControlWindow window = new FlowControlWindow();
  private @Nullable Future<?> deadlineTimer;
  private @Nullable Future<?> silenceTimer;
  private @Nullable BackendAttempt currentAttempt;
  private int attempts;
  private int failedConnections;
  private boolean mayHaveRun;
  private boolean ended;

  RelayCall(
      RelayNode node,
      RelayRequest request,
      CallerConnection caller,
      RequestAuthorizer.Decision.Allowed allowed,
      long arrivedNanos) {
    this.node = node;
    this.request = request;
    this.caller = caller;
    this.allowed = allowed;
    this.arrivedNanos = arrivedNanos;
    Duration patience = request.callerTimeout().orElse(node.settings().defaultTimeout());
    Duration limit =
        patience.compareTo(allowed.route().timeout()) < 0 ? patience : allowed.route().timeout();
    deadlineNanos = arrivedNanos + limit.toNanos();
    response = new RelayResponse(allowed.route(), request.resumeAfter(), caller, window);
    allocation = new EngineAllocation(node, this);
    log = new CallLog(node, request.id());
  }

  void start() {
    caller.setListener(this);
    deadlineTimer = node.timing().schedule(remaining(), this::onDeadline);
    startAttempt();
  }

  private Duration remaining() {
    return Duration.ofNanos(deadlineNanos - node.timing().nanoTime());
  }

  private ServiceName service() {
    return allowed.service().name();
  }

  private Route route() {
    return allowed.route();
  }

  private void startAttempt() {
    if (request.size().isPresent() && allowed.service().engine().isPresent()) {
      allocation.allocate(placementRequest(request.size().get()));
      return;
    }
    Optional<BackendServer> server =
        node.balancer()
            .choose(
                node.view().readyServers(service()),
                ImmutableSet.copyOf(excludedServers),
                node.timing().nanoTime());
    if (server.isPresent()) {
      send(server.get(), ImmutableList.of(), route().timeout());
    } else {
      endWithFailure(RelayRefusal.NO_SERVER, DEFAULT_RETRY_AFTER);
    }
  }

  private PlacementAsk placementRequest(GenerationSize size) {
    long waitedNanos = node.timing().nanoTime() - arrivedNanos;
    return new PlacementAsk(
        request.id(),
        service(),
        size,
        route().goal().minusNanos(waitedNanos),
        route().pauseGoal().orElse(route().goal()),
        remaining(),
        ImmutableSet.copyOf(excludedServers));
  }

  @Override
  public void onAllocated(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    send(server, helpers, expected);
  }

  @Override
  public void onUnusable(Optional<ReplicaId> server, RelayRefusal reason) {
    server.ifPresent(excludedServers::add);
    tryNextServer(reason);
  }

  @Override
  public void onFull(Duration comeBack) {
    endWithFailure(RelayRefusal.OVERLOADED, comeBack);
  }

  private void send(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    if (remaining().compareTo(Duration.ofMillis(1)) < 0) {
      onDeadline();
      return;
    }
    attempts++;
    BackendAttempt send = new BackendAttempt(server, node.timing().scheduler(), this);
    currentAttempt = send;
    node.balancer().requestStarted(server.id());
    log.sent(server, service(), helpers, attempts, remaining(), expected);
    send.start(
        node.backends(),
        new BackendClient.BackendRequest(
            request, server, allowed.customer(), remaining(), helpers, response.lastEventId()));
    if (route().resumable()) {
      restartSilenceTimer(SilenceTimeouts.firstEventTimeout(route(), expected));
    }
  }

  private void restartSilenceTimer(Duration limit) {
    cancelTimer(silenceTimer);
    silenceTimer = node.timing().schedule(limit, this::onSilenceTimeout);
  }

  private void onSilenceTimeout() {
    BackendAttempt silent = currentAttempt;
    if (silent != null && !ended && canRetry()) {
      failAttempt(silent, true, "silent", true);
    }
  }

  private boolean canRetry() {
    return attempts < route().maximumSends() && remaining().compareTo(MIN_TIME_FOR_RETRY) > 0;
  }

  private boolean tryTakeRetry() {
    if (!canRetry() || !node.retryBudget(service()).tryTake()) {
      return false;
    }
    node.metrics().recordRetry();
    return true;
  }

  /** Tries another server without a retry: nothing was sent to the one before. */
  private void tryNextServer(RelayRefusal otherwise) {
    allocation.release();
    if (++failedConnections < MAX_FAILED_CONNECTIONS
        && remaining().compareTo(MIN_TIME_FOR_RETRY) > 0) {
      startAttempt();
    } else {
      endWithFailure(otherwise, DEFAULT_RETRY_AFTER);
    }
  }

  private void retryOrRefuse(RelayRefusal otherwise) {
    allocation.release();
    if (route().repeats().allowsSecondSend(mayHaveRun) && tryTakeRetry()) {
      if (response.hasBegun()) {
        node.metrics().recordResume();
      }
      startAttempt();
    } else {
      endWithFailure(otherwise, DEFAULT_RETRY_AFTER);
    }
  }

  private void endWithFailure(RelayRefusal refusal, Duration comeBack) {
    if (ended) {
      return;
    }
    finish(refusal.name());
    if (response.sendFallback()) {
      return;
    }
    if (response.hasBegun()) {
      caller.abort();
      return;
    }
    RelayRefusal truthful = mayHaveRun && refusal.promisesNotRun() ? RelayRefusal.BROKEN : refusal;
    node.metrics().recordRefusal(truthful);
    caller.refuse(truthful, comeBack);
  }

  private void onDeadline() {
    if (!ended) {
      endWithFailure(
          attempts > 0 ? RelayRefusal.EXPIRED : RelayRefusal.EXPIRED_UNSENT, DEFAULT_RETRY_AFTER);
    }
  }

  @Override
  public void onChunksWritten(int pieces) {
    if (window.acknowledge(pieces)) {
      node.timing().scheduler().execute(this::resumeReading);
    }
  }

  private void resumeReading() {
    BackendAttempt reading = currentAttempt;
    if (reading != null) {
      reading.resumeReading();
      restartSilenceTimer(SilenceTimeouts.pauseTimeout(route()));
    }
  }

  @Override
  public void onDisconnected() {
    node.timing().scheduler().execute(this::endAfterDisconnect);
  }

  private void endAfterDisconnect() {
    if (!ended) {
      node.metrics().recordCallerGone();
      finish("CALLER_GONE");
    }
  }

  private void finish(String outcome) {
    ended = true;
    cancelTimer(deadlineTimer);
    cancelTimer(silenceTimer);
    BackendAttempt last = currentAttempt;
    if (last != null) {
      cancel(last);
    }
    allocation.close();
    long tookNanos = node.timing().nanoTime() - arrivedNanos;
    log.ended(outcome, route(), attempts, mayHaveRun, response, arrivedNanos, tookNanos);
    node.metrics().recordEnd(tookNanos);
    node.requestEnded();
  }

  @Override
  public void onHead(BackendAttempt send, BackendClient.Head head) {
    if (head.notRun()) {
      logFailure(send, "not_run " + head.status());
      // The rest of a refusal is short; its exchange ends by itself and keeps the connection.
      close(send);
      excludeFaultyServer(send, head.faultyServer());
      retryOrRefuse(RelayRefusal.REFUSED_BY_SERVER);
      return;
    }
    mayHaveRun = true;
    response.onHead(head);
  }

  /** Avoids the server that a refusal blames: one that could not help, or the one that refused. */
  private void excludeFaultyServer(BackendAttempt send, Optional<String> atFault) {
    ReplicaId refusing = send.server().id();
    ReplicaId blamed =
        atFault.flatMap(name -> node.view().serverNamed(service(), name)).orElse(refusing);
    excludedServers.add(blamed);
    node.placer().failed(service(), blamed, !blamed.equals(refusing));
  }

  @Override
  public void onBody(BackendAttempt send, byte[] piece) {
    int passed = response.onBody(piece, node.timing().nanoTime());
    if (response.isTooLong()) {
      failAttempt(send, true, "answer too long", false);
    } else if (response.isOutOfOrder()) {
      failAttempt(send, true, "events out of order", false);
    } else if (passed > 0 && response.isStream()) {
      if (send.markFirstEvent()) {
        allocation.onFirstEvent();
      }
      if (response.hasFirstEventInChunk()) {
        node.metrics().recordFirstEvent(node.timing().nanoTime() - arrivedNanos);
      }
      if (window.isFull()) {
        cancelTimer(silenceTimer);
        send.pauseReading();
      } else {
        restartSilenceTimer(SilenceTimeouts.pauseTimeout(route()));
      }
    }
  }

  @Override
  public void onEnd(BackendAttempt send) {
    if (response.isIncomplete()) {
      failAttempt(send, true, "ended within an event", false);
      return;
    }
    close(send);
    if (response.isServerError() && route().repeats().allowsSecondSend(true) && tryTakeRetry()) {
      logFailure(send, "server error");
      response.keepAsFallback();
      excludedServers.add(send.server().id());
      allocation.release();
      startAttempt();
      return;
    }
    finish("ANSWERED");
    response.complete();
  }

  @Override
  public void onFailure(BackendAttempt send, boolean sent, String reason) {
    failAttempt(send, sent, reason, !sent);
  }

  private void failAttempt(BackendAttempt send, boolean sent, String reason, boolean unreachable) {
    logFailure(send, reason);
    cancel(send);
    cancelTimer(silenceTimer);
    ReplicaId server = send.server().id();
    excludedServers.add(server);
    node.placer().failed(service(), server, unreachable);
    node.balancer().requestFailed(server, node.timing().nanoTime());
    if (!sent) {
      attempts--;
      tryNextServer(RelayRefusal.NO_SERVER);
      return;
    }
    mayHaveRun = true;
    response.discardPartial();
    retryOrRefuse(RelayRefusal.BROKEN);
  }

  private void cancel(BackendAttempt send) {
    close(send);
    send.cancel();
  }

  private void close(BackendAttempt send) {
    if (!send.isClosed()) {
      send.close();
      currentAttempt = null;
      node.balancer().requestEnded(send.server().id());
    }
  }

  private void logFailure(BackendAttempt send, String reason) {
    log.sendFailed(send.server().id(), reason, remaining());
  }

  private static void cancelTimer(@Nullable Future<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
