package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.pool.PoolScheduler;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.NotRunStatuses;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Handles one admitted request: sends it, retries it where allowed, and responds to the caller
 * once.
 *
 * <p>Runs on the relay's executor, as do the events of its attempts.
 */
final class RelayCall
    implements BackendAttempt.AttemptListener,
        EngineAllocation.Callback,
        CallerConnection.ConnectionListener {

  private final RelayNode node;
  private final RelayRequest request;
  private final CallerConnection caller;
  private final RequestAuthorizer.Decision.Allowed decision;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final CandidateServers candidates;
  private final RelayResponse response;
  private final CallLog log;
  private final EngineAllocation allocation;
  private final FlowControlWindow window = new FlowControlWindow();
  private final AttemptLimits limits;
  private final ResettableTimer deadlineTimer;
  private final ResettableTimer silenceTimer;
  private @Nullable BackendAttempt currentAttempt;
  private boolean mayHaveRun;
  private boolean ended;

  RelayCall(
      RelayNode node,
      RelayRequest request,
      CallerConnection caller,
      RequestAuthorizer.Decision.Allowed decision,
      long arrivedNanos) {
    this.node = node;
    this.request = request;
    this.caller = caller;
    this.decision = decision;
    this.arrivedNanos = arrivedNanos;
    Duration timeLimit = request.timeLimit(decision.route(), node.settings().defaultTimeout());
    deadlineNanos = arrivedNanos + timeLimit.toNanos();
    response = new RelayResponse(decision.route(), request.resumeAfterEvent(), caller, window);
    allocation = new EngineAllocation(node, this);
    log = new CallLog(node, request);
    candidates = new CandidateServers(node, service());
    limits = new AttemptLimits(node, route(), service(), this::remaining);
    deadlineTimer = new ResettableTimer(node.timing(), this::onDeadline);
    silenceTimer = new ResettableTimer(node.timing(), this::onSilenceTimeout);
  }

  void start() {
    caller.setListener(this);
    deadlineTimer.restart(remaining());
    startAttempt();
  }

  private Duration remaining() {
    return Duration.ofNanos(deadlineNanos - node.timing().nanoTime());
  }

  private ServiceName service() {
    return decision.service().name();
  }

  private Route route() {
    return decision.route();
  }

  private void startAttempt() {
    Optional<String> blockedPart = node.blockedParts().blockedPartOf(request.promptParts());
    if (blockedPart.isPresent()) {
      onBlocked(blockedPart.get());
      return;
    }
    if (endIfServersPaused()) {
      return;
    }
    if (decision.isGeneration(request)) {
      Duration waited = Duration.ofNanos(node.timing().nanoTime() - arrivedNanos);
      allocation.allocate(candidates.toPlacementRequest(request, route(), waited, remaining()));
      return;
    }
    Optional<BackendServer> server = candidates.choose();
    if (server.isEmpty()) {
      endWithFailure(candidates.absenceReason(), candidates.retryAfter());
    } else if (node.backendLimits().isLimited(server.get())) {
      allocation.allocate(candidates.toLimitRequest(request, route(), remaining()));
    } else {
      send(server.get(), ImmutableList.of(), route().timeout());
    }
  }

  /** Refuses the request at once if all servers of the service are paused. */
  private boolean endIfServersPaused() {
    Optional<Duration> pause = candidates.shortestPause();
    pause.ifPresent(duration -> endWithFailure(RelayRefusal.SERVERS_PAUSED, duration));
    return pause.isPresent();
  }

  @Override
  public void onAllocated(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    send(server, helpers, expected);
  }

  @Override
  public void onUnusable(Optional<ReplicaId> server, RelayRefusal reason) {
    server.ifPresent(candidates::exclude);
    tryNextServer(reason);
  }

  @Override
  public void onFull(Duration retryAfter) {
    if (decision.isGeneration(request)) {
      endWithFailure(RelayRefusal.OVERLOADED, retryAfter);
      return;
    }
    candidates.excludeLimited(retryAfter);
    startAttempt();
  }

  @Override
  public void onBlocked(String part) {
    endWithFailure(RelayRefusal.PROMPT_BLOCKED, node.blockedParts().remaining(part));
  }

  /** Ends the request if it has this part, unless it evidently crashes no engine. */
  void onPartBlocked(String part) {
    BackendAttempt attempt = currentAttempt;
    if (ended || !request.promptParts().shared().contains(part)) {
      return;
    }
    if (attempt == null || !hasWrittenLong(attempt)) {
      onBlocked(part);
    }
  }

  /** Ends the request before the process ends. */
  void endForStop() {
    endWithFailure(RelayRefusal.STOPPING, Duration.ZERO);
  }

  private boolean hasWrittenLong(BackendAttempt attempt) {
    return attempt.hasWrittenFor(PoolScheduler.WRITING_CLEARS_AFTER, node.timing().nanoTime());
  }

  private void send(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    if (remaining().compareTo(Duration.ofMillis(1)) < 0) {
      onDeadline();
      return;
    }
    limits.onSend();
    BackendAttempt attempt = new BackendAttempt(server, node.timing(), this);
    currentAttempt = attempt;
    node.balancer().requestStarted(server.id());
    log.sent(server, service(), helpers, limits.attempts(), remaining(), expected);
    attempt.start(
        node.backends(),
        new BackendClient.BackendRequest(
            request, server, decision.customer(), remaining(), helpers, response.lastEventId()));
    if (route().resumable()) {
      silenceTimer.restart(SilenceTimeouts.firstEventTimeout(route(), expected));
    }
  }

  private void onSilenceTimeout() {
    BackendAttempt attempt = currentAttempt;
    if (attempt != null && !ended && limits.canRetry()) {
      failAttempt(attempt, true, BackendFailure.SILENT, true);
    }
  }

  /** Tries another server outside the retry budget, since nothing was sent to the last one. */
  private void tryNextServer(RelayRefusal refusal) {
    allocation.release();
    if (limits.tryTakeReplacement()) {
      startAttempt();
    } else {
      endWithFailure(refusal, RelayNode.RETRY_AFTER);
    }
  }

  private void retryOrRefuse(RelayRefusal refusal) {
    allocation.release();
    boolean retryAllowed = route().retryPolicy().allowsRetry(mayHaveRun);
    if (retryAllowed && endIfServersPaused()) {
      return;
    }
    if (retryAllowed && limits.tryTakeRetry()) {
      if (response.isStreamBegun()) {
        node.metrics().recordResume();
      }
      startAttempt();
    } else {
      endWithFailure(refusal, RelayNode.RETRY_AFTER);
    }
  }

  private void endWithFailure(RelayRefusal refusal, Duration retryAfter) {
    if (ended) {
      return;
    }
    // A server may run the request of an open attempt.
    mayHaveRun |= currentAttempt != null;
    RelayRefusal reportedRefusal =
        mayHaveRun && refusal.guaranteesNotRun() ? RelayRefusal.BROKEN : refusal;
    finish(refusal.name(), response.statusToCaller().orElse(reportedRefusal.status()), false);
    if (response.sendFallback()) {
      return;
    }
    if (response.isStreamBegun()) {
      caller.abort();
      return;
    }
    node.metrics().recordRefusal(reportedRefusal);
    caller.refuse(reportedRefusal, retryAfter);
  }

  private void onDeadline() {
    if (!ended) {
      endWithFailure(limits.expiryReason(), RelayNode.RETRY_AFTER);
    }
  }

  @Override
  public void onChunksWritten(int count) {
    if (window.acknowledge(count)) {
      node.timing().scheduler().execute(this::resumeReading);
    }
  }

  private void resumeReading() {
    BackendAttempt attempt = currentAttempt;
    if (attempt != null) {
      attempt.resumeReading();
      silenceTimer.restart(SilenceTimeouts.eventGapTimeout(route()));
    }
  }

  @Override
  public void onDisconnected() {
    node.timing().scheduler().execute(this::endAfterDisconnect);
  }

  private void endAfterDisconnect() {
    if (!ended) {
      node.metrics().recordCallerGone();
      finish("CALLER_GONE", CallLog.NO_STATUS, false);
    }
  }

  private void finish(String outcome, int status, boolean completed) {
    ended = true;
    deadlineTimer.cancel();
    silenceTimer.cancel();
    BackendAttempt attempt = currentAttempt;
    if (attempt != null) {
      cancel(attempt);
    }
    allocation.close(completed);
    long tookNanos = node.timing().nanoTime() - arrivedNanos;
    log.ended(
        new CallLog.Ending(outcome, status, limits.attempts(), mayHaveRun, tookNanos),
        route(),
        response,
        arrivedNanos);
    node.metrics().recordEnd(tookNanos);
    node.callEnded(this);
  }

  @Override
  public void onHead(BackendAttempt attempt, BackendClient.Head head) {
    if (head.notRun()) {
      onRefused(attempt, head, "not_run " + head.status(), RelayRefusal.REFUSED_BY_SERVER);
      return;
    }
    mayHaveRun = true;
    node.backendLimits().onResponse(attempt.server(), attempt.sentNanos());
    if (NotRunStatuses.contains(head.status())) {
      candidates.exclude(attempt.server().id());
      onRefused(attempt, head, "not stated as not run " + head.status(), RelayRefusal.BROKEN);
      return;
    }
    node.pauses().onResponse(attempt.server());
    response.onHead(head);
    if (response.isFailedResume()) {
      failAttempt(attempt, true, BackendFailure.NOT_A_STREAM, false);
    }
  }

  private void onRefused(
      BackendAttempt attempt, BackendClient.Head head, String reason, RelayRefusal refusal) {
    log.attemptFailed(attempt, reason, remaining());
    close(attempt);
    attempt.discardRest(node.timing());
    response.discardPartial();
    candidates.onRefusal(attempt.server(), head.faultyServer());
    retryOrRefuse(refusal);
  }

  @Override
  public void onBody(BackendAttempt attempt, byte[] chunk) {
    int sentBytes = response.onBody(chunk, node.timing().nanoTime());
    if (response.isTooLong()) {
      failAttempt(attempt, true, BackendFailure.TOO_LONG, false);
    } else if (response.isOutOfOrder()) {
      failAttempt(attempt, true, BackendFailure.OUT_OF_ORDER, false);
    } else if (sentBytes > 0 && response.isStream()) {
      if (attempt.markFirstEvent(node.timing().nanoTime())) {
        allocation.onFirstEvent();
      }
      if (response.hasFirstEventInChunk()) {
        node.metrics().recordFirstEvent(node.timing().nanoTime() - arrivedNanos);
      }
      if (window.isFull()) {
        silenceTimer.cancel();
        attempt.pauseReading();
      } else {
        silenceTimer.restart(SilenceTimeouts.eventGapTimeout(route()));
      }
    }
  }

  @Override
  public void onEnd(BackendAttempt attempt) {
    if (response.isIncomplete()) {
      failAttempt(attempt, true, BackendFailure.ENDED_WITHIN_EVENT, false);
      return;
    }
    close(attempt);
    if (response.isServerError()
        && route().retryPolicy().allowsRetry(true)
        && limits.tryTakeRetry()) {
      log.attemptFailed(attempt, "server error", remaining());
      response.keepAsFallback();
      candidates.exclude(attempt.server().id());
      allocation.release();
      startAttempt();
      return;
    }
    finish("ANSWERED", response.status(), response.isSuccess());
    node.metrics().recordPassedOn(response.status());
    response.complete();
  }

  @Override
  public void onFailure(BackendAttempt attempt, boolean maybeSent, BackendFailure failure) {
    failAttempt(attempt, maybeSent, failure, !maybeSent);
  }

  private void failAttempt(
      BackendAttempt attempt, boolean maybeSent, BackendFailure failure, boolean unreachable) {
    log.attemptFailed(attempt, failure.logValue(), remaining());
    cancel(attempt);
    silenceTimer.cancel();
    ReplicaId server = attempt.server().id();
    candidates.onFailure(server, unreachable);
    if (!maybeSent) {
      limits.onNotSent();
      tryNextServer(RelayRefusal.NO_SERVER);
      return;
    }
    if (failure.isPossibleCrash() && !hasWrittenLong(attempt)) {
      node.placer().brokenOff(service(), server, request.promptParts());
    }
    mayHaveRun = true;
    response.discardPartial();
    retryOrRefuse(RelayRefusal.BROKEN);
  }

  private void cancel(BackendAttempt attempt) {
    close(attempt);
    attempt.cancel();
  }

  private void close(BackendAttempt attempt) {
    if (!attempt.isClosed()) {
      attempt.close();
      currentAttempt = null;
      node.balancer().requestEnded(attempt.server().id());
    }
  }
}
