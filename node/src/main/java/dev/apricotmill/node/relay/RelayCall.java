package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.NotRunStatuses;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.Route;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Handles one admitted request: sends it, retries it where allowed, and responds to the caller
 * once.
 *
 * <p>A server that is silent may be lost, or may prefill a long prompt. Its attempt stays open
 * while other servers are tried, and is given up only when one of them writes.
 *
 * <p>Runs on the relay's executor, as do the events of its attempts.
 */
final class RelayCall
    implements BackendAttempt.AttemptListener,
        ServerSelection.Callback,
        CallerConnection.ConnectionListener {

  private final RelayNode node;
  private final RelayRequest request;
  private final CallerConnection caller;
  private final CallScope scope;
  private final CandidateServers candidates;
  private final RelayResponse response;
  private final FlowControlWindow window = new FlowControlWindow();
  private final AttemptLimits limits;
  private final ServerSelection ownSelection;
  private final SilenceWatch silenceWatch;
  private final ResettableTimer deadlineTimer;
  private ServerSelection selection;
  private @Nullable BackendAttempt currentAttempt;
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
    scope = new CallScope(node, request, decision, arrivedNanos);
    candidates = scope.candidates();
    limits = scope.limits();
    response =
        new RelayResponse(
            decision.route(),
            request.resumeAfterEvent(),
            caller,
            window,
            node.responseBuffers(),
            node.timing().scheduler());
    ownSelection = new ServerSelection(scope, request.id(), this);
    selection = ownSelection;
    silenceWatch = new SilenceWatch(scope, response, this::onStandbyAlive);
    deadlineTimer = new ResettableTimer(node.timing(), this::onDeadline);
  }

  void start() {
    caller.setListener(this);
    deadlineTimer.restart(scope.remaining());
    startAttempt();
  }

  private Route route() {
    return scope.route();
  }

  private void startAttempt() {
    selection = ownSelection;
    selection.select();
  }

  @Override
  public void onSelected(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration expected) {
    if (!scope.hasTimeToSend()) {
      onDeadline();
      return;
    }
    BackendAttempt attempt = scope.send(server, helpers, expected, response.lastEventId(), this);
    currentAttempt = attempt;
    silenceWatch.begin(attempt, expected);
  }

  @Override
  public void onUnusable(RelayRefusal reason) {
    tryNextServer(reason);
  }

  @Override
  public void onNoServer(RelayRefusal reason, Duration retryAfter) {
    endWithFailure(reason, retryAfter);
  }

  /** Ends the request if it has this part, unless it evidently crashes no engine. */
  void onPartBlocked(String part) {
    BackendAttempt attempt = currentAttempt;
    if (ended || !request.promptParts().shared().contains(part)) {
      return;
    }
    if (attempt == null || !scope.hasWrittenLong(attempt)) {
      endWithFailure(RelayRefusal.PROMPT_BLOCKED, node.blockedParts().remaining(part));
    }
  }

  /** Ends the request before the process ends. */
  void endForStop() {
    endWithFailure(RelayRefusal.STOPPING, Duration.ZERO);
  }

  /** Leaves a silent server for one that writes. */
  private void onStandbyAlive(StandbyAttempt standby) {
    BackendAttempt silent = currentAttempt;
    if (silent != null) {
      scope.recordFailure(silent, BackendFailure.SILENT);
      scope.cancel(silent);
    }
    continueWith(standby);
  }

  /** Replaces an attempt that has ended by one that was made beside it. */
  private void continueWith(StandbyAttempt standby) {
    scope.recordPossibleRun();
    selection.release();
    selection = standby.selection();
    BackendAttempt attempt = standby.handOver(this);
    currentAttempt = attempt;
    if (response.isStreamBegun()) {
      node.metrics().recordResume();
    }
    response.discardPartial();
    silenceWatch.begin(attempt, standby.expected());
    standby.head().ifPresent(response::onHead);
    byte[] received = standby.received();
    if (received.length > 0) {
      onBody(attempt, received);
    }
  }

  /** Tries another server outside the retry budget, since nothing was sent to the last one. */
  private void tryNextServer(RelayRefusal refusal) {
    selection.release();
    if (limits.tryTakeReplacement()) {
      startAttempt();
    } else {
      endWithFailure(refusal, RelayNode.RETRY_AFTER);
    }
  }

  private void retryOrRefuse(RelayRefusal refusal) {
    selection.release();
    if (!route().retryPolicy().allowsRetry(scope.mayHaveRun()) || !response.canBeContinued()) {
      endWithFailure(refusal, RelayNode.RETRY_AFTER);
      return;
    }
    Optional<Duration> pause = candidates.shortestPause();
    if (pause.isPresent()) {
      endWithFailure(RelayRefusal.SERVERS_PAUSED, pause.get());
    } else if (limits.tryTakeRetry()) {
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
    if (currentAttempt != null) {
      scope.recordPossibleRun();
    }
    RelayRefusal reportedRefusal =
        scope.mayHaveRun() && refusal.guaranteesNotRun() ? RelayRefusal.BROKEN : refusal;
    finish(refusal.name(), response.statusToCaller().orElse(reportedRefusal.status()), false);
    boolean fallbackSent = response.sendFallback();
    response.dropFallback();
    if (fallbackSent) {
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
    response.onDelivered();
    if (window.acknowledge(count)) {
      node.timing().scheduler().execute(this::resumeReading);
    }
  }

  private void resumeReading() {
    BackendAttempt attempt = currentAttempt;
    if (attempt != null) {
      attempt.resumeReading();
      silenceWatch.onProgress();
    }
  }

  @Override
  public void onDisconnected() {
    node.timing().scheduler().execute(this::endAfterDisconnect);
  }

  private void endAfterDisconnect() {
    if (!ended) {
      node.metrics().recordCallerGone();
      response.dropFallback();
      finish("CALLER_GONE", CallLog.NO_STATUS, false);
    }
    response.onDelivered();
  }

  private void finish(String outcome, int status, boolean completed) {
    ended = true;
    deadlineTimer.cancel();
    BackendAttempt attempt = currentAttempt;
    currentAttempt = null;
    if (attempt != null) {
      scope.cancel(attempt);
    }
    silenceWatch.end();
    selection.close(completed);
    ownSelection.close(completed);
    long tookNanos = scope.elapsedNanos();
    scope
        .log()
        .ended(
            new CallLog.Ending(outcome, status, limits.attempts(), scope.mayHaveRun(), tookNanos),
            route(),
            response,
            scope.arrivedNanos());
    node.metrics().recordEnd(tookNanos);
    node.callEnded(this);
  }

  @Override
  public void onHead(BackendAttempt attempt, BackendClient.Head head) {
    if (head.notRun()) {
      onRefused(attempt, head, "not_run " + head.status(), RelayRefusal.REFUSED_BY_SERVER);
      return;
    }
    scope.recordPossibleRun();
    node.backendLimits().onResponse(attempt.server(), attempt.sentNanos());
    if (NotRunStatuses.contains(head.status())) {
      candidates.exclude(attempt.server().id());
      onRefused(attempt, head, "not stated as not run " + head.status(), RelayRefusal.BROKEN);
      return;
    }
    node.pauses().onResponse(attempt.server());
    response.onHead(head);
    if (response.isFailedResume()) {
      failAttempt(attempt, true, BackendFailure.NOT_A_STREAM);
    }
  }

  private void onRefused(
      BackendAttempt attempt, BackendClient.Head head, String reason, RelayRefusal refusal) {
    scope.log().attemptFailed(attempt, reason, scope.remaining());
    currentAttempt = null;
    scope.discard(attempt);
    response.discardPartial();
    candidates.onRefusal(attempt.server(), head.faultyServer());
    silenceWatch
        .endExceptFirstSent()
        .ifPresentOrElse(this::continueWith, () -> retryOrRefuse(refusal));
  }

  @Override
  public void onBody(BackendAttempt attempt, byte[] chunk) {
    int sentBytes = response.onBody(chunk, node.timing().nanoTime());
    if (response.isTooLong()) {
      failAttempt(attempt, true, BackendFailure.TOO_LONG);
    } else if (response.isOutOfOrder()) {
      failAttempt(attempt, true, BackendFailure.OUT_OF_ORDER);
    } else if (sentBytes > 0 && response.isStream()) {
      onEventsPassedOn(attempt);
    }
  }

  private void onEventsPassedOn(BackendAttempt attempt) {
    if (attempt.markFirstEvent(node.timing().nanoTime())) {
      selection.onFirstEvent();
    }
    if (response.hasFirstEventInChunk()) {
      node.metrics().recordFirstEvent(scope.elapsedNanos());
    }
    silenceWatch.onProgress();
    if (window.isFull()) {
      silenceWatch.pause();
      attempt.pauseReading();
    }
  }

  @Override
  public void onEnd(BackendAttempt attempt) {
    if (response.isIncomplete()) {
      failAttempt(attempt, true, BackendFailure.ENDED_WITHIN_EVENT);
      return;
    }
    currentAttempt = null;
    scope.close(attempt);
    if (response.isServerError()) {
      scope.onServerError(attempt);
    }
    if (response.isServerError() && route().retryPolicy().allowsRetry(true)) {
      Optional<StandbyAttempt> standby = silenceWatch.endExceptFirstSent();
      if (standby.isPresent() || limits.tryTakeRetry()) {
        scope.log().attemptFailed(attempt, "server error", scope.remaining());
        response.keepAsFallback();
        candidates.exclude(attempt.server().id());
        selection.release();
        standby.ifPresentOrElse(this::continueWith, this::startAttempt);
        return;
      }
    }
    finish("ANSWERED", response.status(), response.isSuccess());
    response.dropFallback();
    node.metrics().recordPassedOn(response.status());
    response.complete();
  }

  @Override
  public long bufferedBytes() {
    return response.bufferedBytes();
  }

  @Override
  public void onFailure(BackendAttempt attempt, boolean maybeSent, BackendFailure failure) {
    failAttempt(attempt, maybeSent, failure);
  }

  private void failAttempt(BackendAttempt attempt, boolean maybeSent, BackendFailure failure) {
    currentAttempt = null;
    scope.fail(attempt, maybeSent, failure, /* unreachable= */ !maybeSent);
    if (maybeSent) {
      response.discardPartial();
    }
    Optional<StandbyAttempt> standby = silenceWatch.endExceptFirstSent();
    if (standby.isPresent()) {
      continueWith(standby.get());
    } else if (maybeSent) {
      retryOrRefuse(RelayRefusal.BROKEN);
    } else {
      tryNextServer(RelayRefusal.NO_SERVER);
    }
  }
}
