package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.memory.ChunkBuffer;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.NotRunStatuses;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Resumes a stream on another server while the attempt on a silent server stays open, and holds
 * what that server writes until one of the two has proved to be alive.
 */
final class StandbyAttempt implements BackendAttempt.AttemptListener, ServerSelection.Callback {

  /** Receives the events of a standby attempt. */
  interface Owner {
    /** Called when the request was sent; the first event is expected after {@code expected}. */
    void onStandbySent(Duration expected);

    /** Called when the attempt has begun to write, or has ended the stream. */
    void onStandbyAlive(StandbyAttempt standby);

    /**
     * Called when the attempt has failed or cannot be made.
     *
     * @param retryAfter when another attempt may succeed
     */
    void onStandbyEnded(StandbyAttempt standby, Duration retryAfter);
  }

  private final CallScope scope;
  private final RelayResponse response;
  private final Owner owner;
  private final ServerSelection selection;
  private final SseEventAssembler assembler;
  private final ChunkBuffer received = new ChunkBuffer();
  private BackendClient.@Nullable Head head;
  private @Nullable BackendAttempt attempt;
  private Duration expected = Duration.ZERO;

  /**
   * Creates an attempt that was not sent yet.
   *
   * @param placementId the name under which engines are allocated
   * @param response what the caller has been sent so far
   */
  StandbyAttempt(CallScope scope, RequestId placementId, RelayResponse response, Owner owner) {
    this.scope = scope;
    this.response = response;
    this.owner = owner;
    selection = new ServerSelection(scope, placementId, this);
    assembler = new SseEventAssembler(response.lastEventId());
  }

  /** Selects a server and sends the request there. */
  void start() {
    selection.select();
  }

  /** Returns whether the request was sent. */
  boolean isSent() {
    return attempt != null;
  }

  /** Returns the attempt, which must have been sent; its further events go to {@code listener}. */
  BackendAttempt handOver(BackendAttempt.AttemptListener listener) {
    BackendAttempt sent = Objects.requireNonNull(attempt);
    sent.setListener(listener);
    return sent;
  }

  /** Returns what was allocated for the attempt. */
  ServerSelection selection() {
    return selection;
  }

  /** Returns the time in which the first event was expected when the request was sent. */
  Duration expected() {
    return expected;
  }

  /** Returns the head of the response, if it has arrived. */
  Optional<BackendClient.Head> head() {
    return Optional.ofNullable(head);
  }

  /** Returns the bytes of the body that have arrived. */
  byte[] received() {
    return received.toByteArray();
  }

  /** Ends the attempt without a call to its owner. */
  void cancel() {
    BackendAttempt sent = attempt;
    if (sent != null) {
      scope.recordPossibleRun();
      scope.cancel(sent);
    }
    selection.close(false);
  }

  @Override
  public void onSelected(
      BackendServer server, ImmutableList<BackendClient.Helper> helpers, Duration newExpected) {
    if (!scope.hasTimeToSend() || !scope.limits().tryTakeRetry()) {
      end(SilenceTimeouts.STANDBY_RETRY_PERIOD);
      return;
    }
    expected = newExpected;
    scope.candidates().exclude(server.id());
    attempt = scope.send(server, helpers, expected, response.lastEventId(), this);
    owner.onStandbySent(expected);
  }

  @Override
  public void onUnusable(RelayRefusal reason) {
    end(SilenceTimeouts.STANDBY_RETRY_PERIOD);
  }

  @Override
  public void onNoServer(RelayRefusal reason, Duration retryAfter) {
    end(SilenceTimeouts.STANDBY_RETRY_PERIOD);
  }

  private void end(Duration retryAfter) {
    selection.close(false);
    owner.onStandbyEnded(this, retryAfter);
  }

  @Override
  public void onHead(BackendAttempt sender, BackendClient.Head newHead) {
    if (newHead.notRun()) {
      onRefused(sender, newHead, "not_run " + newHead.status());
      return;
    }
    scope.recordPossibleRun();
    scope.node().backendLimits().onResponse(sender.server(), sender.sentNanos());
    if (NotRunStatuses.contains(newHead.status())) {
      scope.candidates().exclude(sender.server().id());
      onRefused(sender, newHead, "not stated as not run " + newHead.status());
      return;
    }
    scope.node().pauses().onResponse(sender.server());
    if (response.canContinueWith(newHead)) {
      head = newHead;
    } else {
      fail(sender, true, BackendFailure.NOT_A_STREAM);
    }
  }

  private void onRefused(BackendAttempt sender, BackendClient.Head refusal, String reason) {
    scope.log().attemptFailed(sender, reason, scope.remaining());
    scope.discard(sender);
    scope.candidates().onRefusal(sender.server(), refusal.faultyServer());
    end(Duration.ZERO);
  }

  @Override
  public void onBody(BackendAttempt sender, byte[] chunk) {
    received.add(chunk);
    byte[] events = assembler.add(chunk);
    if (assembler.isTooLong()) {
      fail(sender, true, BackendFailure.TOO_LONG);
    } else if (assembler.isOutOfOrder()) {
      fail(sender, true, BackendFailure.OUT_OF_ORDER);
    } else if (events.length > 0) {
      owner.onStandbyAlive(this);
    }
  }

  @Override
  public long bufferedBytes() {
    return received.size() + (long) assembler.partialBytes();
  }

  @Override
  public void onEnd(BackendAttempt sender) {
    if (assembler.hasPartial() || !response.isStreamBegun()) {
      fail(sender, true, BackendFailure.ENDED_WITHIN_EVENT);
      return;
    }
    owner.onStandbyAlive(this);
    // The owner listens now.
    sender.onEnd();
  }

  @Override
  public void onFailure(BackendAttempt sender, boolean maybeSent, BackendFailure failure) {
    fail(sender, maybeSent, failure);
  }

  private void fail(BackendAttempt sender, boolean maybeSent, BackendFailure failure) {
    scope.fail(sender, maybeSent, failure, !maybeSent);
    end(Duration.ZERO);
  }
}
