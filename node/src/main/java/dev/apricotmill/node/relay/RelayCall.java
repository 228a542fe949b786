package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.PlacementRequest;
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
final class RelayCall implements RelaySend.Reports, EngineChoice.Result, RelayCaller.Watcher {

  /** Connections that may fail before a byte is sent; each failure takes a connect timeout. */
  private static final int MOST_FAILED_CONNECTIONS = 3;

  /** With less time than this left, a further send cannot be answered. */
  private static final Duration LEAST_TIME_FOR_RETRY = Duration.ofMillis(50);

  private static final Duration COME_BACK = Duration.ofMillis(500);

  private final RelayNode node;
  private final RelayRequest request;
  private final RelayCaller caller;
  private final RelayGate.Decision.Allowed allowed;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final Set<ReplicaId> avoid = new HashSet<>();
  private final RelayAnswer answer;
  private final CallLog log;
  private final EngineChoice engines;
  private final CallerWindow window = new CallerWindow();
  private @Nullable Future<?> deadlineTimer;
  private @Nullable Future<?> silenceTimer;
  private @Nullable RelaySend current;
  private int sends;
  private int failedConnections;
  private boolean mayHaveRun;
  private boolean ended;

  RelayCall(
      RelayNode node,
      RelayRequest request,
      RelayCaller caller,
      RelayGate.Decision.Allowed allowed,
      long arrivedNanos) {
    this.node = node;
    this.request = request;
    this.caller = caller;
    this.allowed = allowed;
    this.arrivedNanos = arrivedNanos;
    Duration patience = request.patience().orElse(node.settings().defaultPatience());
    Duration limit =
        patience.compareTo(allowed.route().timeout()) < 0 ? patience : allowed.route().timeout();
    deadlineNanos = arrivedNanos + limit.toNanos();
    answer = new RelayAnswer(allowed.route(), request.resumeAfter(), caller, window);
    engines = new EngineChoice(node, this);
    log = new CallLog(node, request.id());
  }

  void start() {
    caller.watch(this);
    deadlineTimer = node.timing().schedule(left(), this::expire);
    attempt();
  }

  private Duration left() {
    return Duration.ofNanos(deadlineNanos - node.timing().nanoTime());
  }

  private ServiceName service() {
    return allowed.service().name();
  }

  private Route route() {
    return allowed.route();
  }

  private void attempt() {
    if (request.size().isPresent() && allowed.service().engine().isPresent()) {
      engines.find(ask(request.size().get()));
      return;
    }
    Optional<BackendServer> server =
        node.plainServers()
            .choose(
                node.view().readyServers(service()),
                ImmutableSet.copyOf(avoid),
                node.timing().nanoTime());
    if (server.isPresent()) {
      send(server.get(), ImmutableList.of(), route().timeout());
    } else {
      giveUp(RelayRefusal.NO_SERVER, COME_BACK);
    }
  }

  private PlacementRequest ask(GenerationSize size) {
    long waitedNanos = node.timing().nanoTime() - arrivedNanos;
    return new PlacementRequest(
        request.id(),
        service(),
        size,
        route().latencyTarget().minusNanos(waitedNanos),
        route().eventGapTarget().orElse(route().latencyTarget()),
        left(),
        ImmutableSet.copyOf(avoid));
  }

  @Override
  public void onEngines(
      BackendServer server, ImmutableList<BackendPort.Helper> helpers, Duration expected) {
    send(server, helpers, expected);
  }

  @Override
  public void onUnusable(Optional<ReplicaId> server, RelayRefusal reason) {
    server.ifPresent(avoid::add);
    again(reason);
  }

  @Override
  public void onFull(Duration comeBack) {
    giveUp(RelayRefusal.OVERLOADED, comeBack);
  }

  private void send(
      BackendServer server, ImmutableList<BackendPort.Helper> helpers, Duration expected) {
    if (left().compareTo(Duration.ofMillis(1)) < 0) {
      expire();
      return;
    }
    sends++;
    RelaySend send = new RelaySend(server, node.timing().scheduler(), this);
    current = send;
    node.plainServers().begun(server.id());
    log.sent(server, service(), helpers, sends, left(), expected);
    send.start(
        node.backends(),
        new BackendPort.BackendSend(
            request, server, allowed.customer(), left(), helpers, answer.lastEvent()));
    if (route().resumable()) {
      watchSilence(SilenceLimits.firstEvent(route(), expected));
    }
  }

  private void watchSilence(Duration limit) {
    stop(silenceTimer);
    silenceTimer = node.timing().schedule(limit, this::onSilence);
  }

  private void onSilence() {
    RelaySend silent = current;
    if (silent != null && !ended && canSendAgain()) {
      fail(silent, true, "silent", true);
    }
  }

  private boolean canSendAgain() {
    return sends < route().maximumAttempts() && left().compareTo(LEAST_TIME_FOR_RETRY) > 0;
  }

  private boolean takeRetry() {
    if (!canSendAgain() || !node.budget(service()).tryTake()) {
      return false;
    }
    node.meters().retried();
    return true;
  }

  /** Tries another server without a retry: nothing was sent to the one before. */
  private void again(RelayRefusal otherwise) {
    engines.release();
    if (++failedConnections < MOST_FAILED_CONNECTIONS
        && left().compareTo(LEAST_TIME_FOR_RETRY) > 0) {
      attempt();
    } else {
      giveUp(otherwise, COME_BACK);
    }
  }

  private void retryOr(RelayRefusal otherwise) {
    engines.release();
    if (route().retryPolicy().allowsRetry(mayHaveRun) && takeRetry()) {
      if (answer.hasBegun()) {
        node.meters().resumed();
      }
      attempt();
    } else {
      giveUp(otherwise, COME_BACK);
    }
  }

  private void giveUp(RelayRefusal refusal, Duration comeBack) {
    if (ended) {
      return;
    }
    finish(refusal.name());
    if (answer.sendFallback()) {
      return;
    }
    if (answer.hasBegun()) {
      caller.abort();
      return;
    }
    RelayRefusal truthful =
        mayHaveRun && refusal.guaranteesNotRun() ? RelayRefusal.BROKEN : refusal;
    node.meters().refused(truthful);
    caller.refuse(truthful, comeBack);
  }

  private void expire() {
    if (!ended) {
      giveUp(sends > 0 ? RelayRefusal.EXPIRED : RelayRefusal.EXPIRED_UNSENT, COME_BACK);
    }
  }

  @Override
  public void onTaken(int pieces) {
    if (window.taken(pieces)) {
      node.timing().scheduler().execute(this::readOn);
    }
  }

  private void readOn() {
    RelaySend reading = current;
    if (reading != null) {
      reading.resume();
      watchSilence(SilenceLimits.pause(route()));
    }
  }

  @Override
  public void onGone() {
    node.timing().scheduler().execute(this::callerGone);
  }

  private void callerGone() {
    if (!ended) {
      node.meters().callerGone();
      finish("CALLER_GONE");
    }
  }

  private void finish(String outcome) {
    ended = true;
    stop(deadlineTimer);
    stop(silenceTimer);
    RelaySend last = current;
    if (last != null) {
      cancel(last);
    }
    engines.end();
    long tookNanos = node.timing().nanoTime() - arrivedNanos;
    log.ended(outcome, route(), sends, mayHaveRun, answer, arrivedNanos, tookNanos);
    node.meters().answered(tookNanos);
    node.ended();
  }

  @Override
  public void onHead(RelaySend send, BackendPort.Head head) {
    if (head.notRun()) {
      logFailure(send, "not_run " + head.status());
      // The rest of a refusal is short; its exchange ends by itself and keeps the connection.
      close(send);
      blame(send, head.atFault());
      retryOr(RelayRefusal.REFUSED_BY_SERVER);
      return;
    }
    mayHaveRun = true;
    answer.onHead(head);
  }

  /** Avoids the server that a refusal blames: one that could not help, or the one that refused. */
  private void blame(RelaySend send, Optional<String> atFault) {
    ReplicaId refusing = send.server().id();
    ReplicaId blamed =
        atFault.flatMap(name -> node.view().serverNamed(service(), name)).orElse(refusing);
    avoid.add(blamed);
    node.placements().failed(service(), blamed, !blamed.equals(refusing));
  }

  @Override
  public void onBody(RelaySend send, byte[] piece) {
    int passed = answer.onBody(piece, node.timing().nanoTime());
    if (answer.isTooLong()) {
      fail(send, true, "answer too long", false);
    } else if (answer.isOutOfOrder()) {
      fail(send, true, "events out of order", false);
    } else if (passed > 0 && answer.streams()) {
      if (send.markStarted()) {
        engines.firstEvent();
      }
      if (answer.isFirst()) {
        node.meters().firstEvent(node.timing().nanoTime() - arrivedNanos);
      }
      if (window.isFull()) {
        stop(silenceTimer);
        send.hold();
      } else {
        watchSilence(SilenceLimits.pause(route()));
      }
    }
  }

  @Override
  public void onEnd(RelaySend send) {
    if (answer.isIncomplete()) {
      fail(send, true, "ended within an event", false);
      return;
    }
    close(send);
    if (answer.isFailure() && route().retryPolicy().allowsRetry(true) && takeRetry()) {
      logFailure(send, "server error");
      answer.keepAsFallback();
      avoid.add(send.server().id());
      engines.release();
      attempt();
      return;
    }
    finish("ANSWERED");
    answer.end();
  }

  @Override
  public void onFailure(RelaySend send, boolean sent, String reason) {
    fail(send, sent, reason, !sent);
  }

  private void fail(RelaySend send, boolean sent, String reason, boolean unreachable) {
    logFailure(send, reason);
    cancel(send);
    stop(silenceTimer);
    ReplicaId server = send.server().id();
    avoid.add(server);
    node.placements().failed(service(), server, unreachable);
    node.plainServers().failed(server, node.timing().nanoTime());
    if (!sent) {
      sends--;
      again(RelayRefusal.NO_SERVER);
      return;
    }
    mayHaveRun = true;
    answer.onBreak();
    retryOr(RelayRefusal.BROKEN);
  }

  private void cancel(RelaySend send) {
    close(send);
    send.cancel();
  }

  private void close(RelaySend send) {
    if (!send.isOver()) {
      send.close();
      current = null;
      node.plainServers().ended(send.server().id());
    }
  }

  private void logFailure(RelaySend send, String reason) {
    log.sendFailed(send.server().id(), reason, left());
  }

  private static void stop(@Nullable Future<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
