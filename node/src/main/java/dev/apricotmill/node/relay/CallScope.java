package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.PoolScheduler;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.OptionalLong;

/**
 * What all attempts of one request share: the request, its deadline, its limits and the servers to
 * which it may go. Runs on the relay's executor.
 */
final class CallScope {

  private final RelayNode node;
  private final RelayRequest request;
  private final RequestAuthorizer.Decision.Allowed decision;
  private final long arrivedNanos;
  private final long deadlineNanos;
  private final CandidateServers candidates;
  private final AttemptLimits limits;
  private final CallLog log;
  private boolean mayHaveRun;

  CallScope(
      RelayNode node,
      RelayRequest request,
      RequestAuthorizer.Decision.Allowed decision,
      long arrivedNanos) {
    this.node = node;
    this.request = request;
    this.decision = decision;
    this.arrivedNanos = arrivedNanos;
    Duration timeLimit = request.timeLimit(decision.route(), node.settings().defaultTimeout());
    deadlineNanos = arrivedNanos + timeLimit.toNanos();
    candidates = new CandidateServers(node, service());
    limits = new AttemptLimits(node, route(), service(), this::remaining);
    log = new CallLog(node, request);
  }

  RelayNode node() {
    return node;
  }

  RelayRequest request() {
    return request;
  }

  Route route() {
    return decision.route();
  }

  ServiceName service() {
    return decision.service().name();
  }

  CandidateServers candidates() {
    return candidates;
  }

  AttemptLimits limits() {
    return limits;
  }

  CallLog log() {
    return log;
  }

  long arrivedNanos() {
    return arrivedNanos;
  }

  /** Records that a server may have run the request. */
  void recordPossibleRun() {
    mayHaveRun = true;
  }

  /** Returns whether a server may have run the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the deadline is far enough for another attempt. */
  boolean hasTimeToSend() {
    return remaining().compareTo(Duration.ofMillis(1)) >= 0;
  }

  /** Returns the time until the request's deadline. */
  Duration remaining() {
    return Duration.ofNanos(deadlineNanos - node.timing().nanoTime());
  }

  /** Returns the time since the request arrived, in nanoseconds. */
  long elapsedNanos() {
    return node.timing().nanoTime() - arrivedNanos;
  }

  /** Returns whether engines are chosen by the size of the request. */
  boolean isGeneration() {
    return decision.isGeneration(request);
  }

  /** Returns the request for the engines of the pool. */
  PlacementRequest toPlacementRequest(RequestId placementId) {
    return candidates
        .toPlacementRequest(request, route(), Duration.ofNanos(elapsedNanos()), remaining())
        .withId(placementId);
  }

  /** Returns whether a dispatcher chooses the server by how each has answered. */
  boolean weighsAnswers() {
    return node.settings().weighsAnswers() && !isGeneration();
  }

  /** Returns the request for any server of a service without engines. */
  PlacementRequest toWeighedRequest(RequestId placementId) {
    return request
        .toWeighedRequest(route(), service(), remaining(), candidates.excluded())
        .withId(placementId);
  }

  /** Reports a complete response that is an error of the server. */
  void onServerError(BackendAttempt attempt) {
    if (weighsAnswers()) {
      node.placer().failed(service(), attempt.server().id(), /* unreachable= */ false);
    }
  }

  /** Returns the request for one of the servers that have limits. */
  PlacementRequest toLimitRequest(RequestId placementId) {
    return candidates.toLimitRequest(request, route(), remaining()).withId(placementId);
  }

  /**
   * Sends the request.
   *
   * @param expected the expected time to the first event of the response
   * @param resumeAfterEvent the last event received so far, if a stream is to be resumed
   */
  BackendAttempt send(
      BackendServer server,
      ImmutableList<BackendClient.Helper> helpers,
      Duration expected,
      OptionalLong resumeAfterEvent,
      BackendAttempt.AttemptListener listener) {
    limits.onSend();
    BackendAttempt attempt =
        new BackendAttempt(server, node.timing(), node.responseBuffers(), listener);
    node.balancer().requestStarted(server.id());
    log.sent(server, service(), helpers, limits.attempts(), remaining(), expected);
    attempt.start(
        node.backends(),
        new BackendClient.BackendRequest(
            request, server, decision.customer(), remaining(), helpers, resumeAfterEvent));
    return attempt;
  }

  /** Returns whether the attempt's server has written long enough not to crash on the prompt. */
  boolean hasWrittenLong(BackendAttempt attempt) {
    return attempt.hasWrittenFor(PoolScheduler.WRITING_CLEARS_AFTER, node.timing().nanoTime());
  }

  /**
   * Ends an attempt that has failed, and excludes its server.
   *
   * @param maybeSent whether a byte of the request may have been sent
   * @param unreachable whether the server did not respond at all
   */
  void fail(
      BackendAttempt attempt, boolean maybeSent, BackendFailure failure, boolean unreachable) {
    recordFailure(attempt, failure);
    cancel(attempt);
    ReplicaId server = attempt.server().id();
    candidates.onFailure(server, unreachable);
    if (!maybeSent) {
      limits.onNotSent();
      return;
    }
    recordPossibleRun();
    if (failure.isPossibleCrash() && !hasWrittenLong(attempt)) {
      node.placer().brokenOff(service(), server, request.promptParts());
    }
  }

  /** Logs and counts an attempt that has failed. */
  void recordFailure(BackendAttempt attempt, BackendFailure failure) {
    log.attemptFailed(attempt, failure.logValue(), remaining());
    node.metrics().recordFailedSend(failure);
  }

  /** Ignores all further events of an attempt. */
  void close(BackendAttempt attempt) {
    if (!attempt.isClosed()) {
      attempt.close();
      node.balancer().requestEnded(attempt.server().id());
    }
  }

  /** Ends an attempt and closes its connection. */
  void cancel(BackendAttempt attempt) {
    close(attempt);
    attempt.cancel();
  }

  /** Ends an attempt that its server has refused. */
  void discard(BackendAttempt attempt) {
    close(attempt);
    attempt.discardRest(node.timing());
  }
}
