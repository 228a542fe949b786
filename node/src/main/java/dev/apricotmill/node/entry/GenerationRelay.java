package dev.apricotmill.node.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.routing.RoutingDecision;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.trace.HopSpan;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Forwards one admitted request to the steward of a replica (the daemon that owns the replica and
 * schedules its work) and streams the response back to the caller.
 *
 * <p>A request that certainly did not run is forwarded to another replica. A broken stream is
 * resumed on another replica if the request may run more than once. All state is confined to one
 * sequential executor.
 */
final class GenerationRelay implements Flow.Subscription {

  private final EntryContext context;
  private final GenerationRequest request;
  private final GenerationResponseListener listener;
  private final HopSpan span;
  private final Timing timing;
  private final Executor serialExecutor;
  private final RelayObserver observer;

  private final Set<ReplicaId> triedReplicas = new HashSet<>();
  private final StringBuilder receivedText = new StringBuilder();
  private final ImmutableList.Builder<String> hops = ImmutableList.builder();
  private ForwardEnd.Usage usage = ForwardEnd.Usage.NONE;
  private long nextPosition;
  private long credit;
  private int attempts;
  private int attemptsWithoutProgress;
  private boolean mayHaveStarted;
  private boolean ended;
  private @Nullable Attempt currentAttempt;
  private @Nullable Future<?> deadlineTimer;

  GenerationRelay(
      EntryContext context,
      GenerationRequest request,
      GenerationResponseListener listener,
      HopSpan span,
      RelayObserver observer) {
    this.context = context;
    this.request = request;
    this.listener = listener;
    this.span = span;
    this.observer = observer;
    this.timing = context.timing();
    this.serialExecutor = MoreExecutors.newSequentialExecutor(timing.scheduler());
    hops.add(context.self().get().daemon().name());
  }

  void start() {
    serialExecutor.execute(
        () -> {
          Duration remaining = request.deadline().remaining(timing.nanoTime());
          deadlineTimer =
              timing.schedule(remaining, () -> serialExecutor.execute(this::onDeadline));
          tryNextReplica(
              new Outcome.Refused(RefusalReason.NO_REPLICA, AdmissionPolicy.RETRY_AFTER));
        });
  }

  @Override
  public void request(long chunks) {
    serialExecutor.execute(
        () -> {
          credit += chunks;
          if (currentAttempt != null) {
            currentAttempt.subscription().request(chunks);
          }
        });
  }

  @Override
  public void cancel() {
    serialExecutor.execute(
        () -> finish(new Outcome.Failed(FailureReason.CALLER_GONE), Notify.NO_ONE));
  }

  /** Ends the request, as refused if it certainly did not run. */
  void endBeforeStop() {
    serialExecutor.execute(
        () ->
            finish(
                isForwarded()
                    ? new Outcome.Failed(FailureReason.STREAM_BROKEN)
                    : refusedUnlessStarted(RefusalReason.DRAINING),
                Notify.CALLER));
  }

  private boolean isForwarded() {
    return mayHaveStarted || currentAttempt != null;
  }

  private void tryNextReplica(Outcome fallback) {
    if (ended) {
      return;
    }
    if (attemptsWithoutProgress >= EntryContext.MAXIMUM_ATTEMPTS || !isAttemptAllowed()) {
      finish(fallback, Notify.CALLER);
      return;
    }
    RoutingDecision decision = context.route(request, triedReplicas);
    if (decision instanceof RoutingDecision.Refuse refusal) {
      boolean firstAttempt = attempts == 0;
      finish(
          firstAttempt ? new Outcome.Refused(refusal.reason(), refusal.retryAfter()) : fallback,
          Notify.CALLER);
      return;
    }
    forward(((RoutingDecision.Forward) decision).target().replica());
  }

  private boolean isAttemptAllowed() {
    return attempts == 0 || context.retryBudget().tryTake();
  }

  private void forward(ReplicaId replica) {
    attempts++;
    attemptsWithoutProgress++;
    triedReplicas.add(replica);
    hops.add(context.stewardName(replica));
    hops.add(replica.value());
    ForwardedRequest forwarded =
        new ForwardedRequest(
            context.self().get(),
            replica,
            attempts,
            request,
            nextPosition,
            receivedText.toString(),
            span.traceParent());
    Attempt attempt = new Attempt(replica);
    currentAttempt = attempt;
    attempt.setSubscription(context.forward(replica, forwarded, attempt));
    if (credit > 0) {
      attempt.subscription().request(credit);
    }
  }

  private void onChunk(Attempt attempt, TokenChunk chunk) {
    if (ended || attempt != currentAttempt) {
      return;
    }
    if (!chunk.request().equals(request.id()) || chunk.position() != nextPosition) {
      attempt.subscription().cancel();
      mayHaveStarted = true;
      resumeOrFinish(new Outcome.Failed(FailureReason.FOREIGN_CHUNK));
      return;
    }
    if (nextPosition == 0) {
      observer.onFirstToken(request);
      span.addEvent("first token");
    }
    mayHaveStarted = true;
    recordProgress(attempt);
    nextPosition = chunk.endPosition();
    receivedText.append(chunk.text());
    credit--;
    listener.onChunk(chunk);
  }

  /** An attempt that delivered tokens does not count towards the maximum number of attempts. */
  private void recordProgress(Attempt attempt) {
    attemptsWithoutProgress = 0;
    triedReplicas.clear();
    triedReplicas.add(attempt.replica());
  }

  private void onEnd(Attempt attempt, ForwardEnd end) {
    if (ended || attempt != currentAttempt) {
      return;
    }
    currentAttempt = null;
    if (end instanceof ForwardEnd.Reported reported) {
      context.observeLoad(attempt.replica(), reported.load());
      onReported(reported);
    } else if (end instanceof ForwardEnd.NotSent) {
      tryNextReplica(refusedUnlessStarted(RefusalReason.NO_REPLICA));
    } else {
      mayHaveStarted = true;
      resumeOrFinish(new Outcome.Unknown(UnknownReason.STEWARD_SILENT));
    }
  }

  private void onReported(ForwardEnd.Reported reported) {
    Outcome outcome = reported.outcome();
    if (outcome instanceof Outcome.Refused refused) {
      onRefused(refused);
    } else if (outcome instanceof Outcome.Failed failed && canResumeAfter(failed.reason())) {
      mayHaveStarted = true;
      resumeOrFinish(outcome);
    } else if (outcome instanceof Outcome.Answered && isComplete(reported.usage())) {
      usage = reported.usage();
      finish(outcome, Notify.CALLER);
    } else if (outcome instanceof Outcome.Answered) {
      mayHaveStarted = true;
      resumeOrFinish(new Outcome.Failed(FailureReason.STREAM_BROKEN));
    } else {
      finish(outcome, Notify.CALLER);
    }
  }

  /** Returns false if the end arrived before all of its chunks. */
  private boolean isComplete(ForwardEnd.Usage reported) {
    return reported.outputTokens() == nextPosition;
  }

  private void onRefused(Outcome.Refused refused) {
    Outcome fallback = mayHaveStarted ? new Outcome.Failed(FailureReason.STREAM_BROKEN) : refused;
    if (refused.reason().retryable()) {
      tryNextReplica(fallback);
    } else {
      finish(fallback, Notify.CALLER);
    }
  }

  private static boolean canResumeAfter(FailureReason reason) {
    return reason == FailureReason.STREAM_BROKEN
        || reason == FailureReason.FOREIGN_CHUNK
        || reason == FailureReason.BACKEND_ERROR;
  }

  private void resumeOrFinish(Outcome fallback) {
    currentAttempt = null;
    if (request.repeatable()) {
      tryNextReplica(fallback);
    } else {
      finish(fallback, Notify.CALLER);
    }
  }

  private void onDeadline() {
    finish(
        isForwarded()
            ? new Outcome.Failed(FailureReason.TIMED_OUT)
            : refusedUnlessStarted(RefusalReason.EXPIRED),
        Notify.CALLER);
  }

  private Outcome refusedUnlessStarted(RefusalReason reason) {
    return mayHaveStarted
        ? new Outcome.Failed(FailureReason.STREAM_BROKEN)
        : new Outcome.Refused(reason, AdmissionPolicy.RETRY_AFTER);
  }

  private void finish(Outcome outcome, Notify notify) {
    if (ended) {
      return;
    }
    ended = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (currentAttempt != null) {
      currentAttempt.subscription().cancel();
      currentAttempt = null;
    }
    span.end(outcome);
    observer.onEnd(request, outcome, usage);
    if (notify == Notify.CALLER) {
      listener.onEnd(new GenerationResponseEnd(request.id(), outcome, usage, hops.build()));
    }
  }

  private enum Notify {
    CALLER,
    NO_ONE
  }

  /** One forward of the request; events of a superseded attempt are ignored. */
  private final class Attempt implements ForwardListener {

    private final ReplicaId replica;
    private Flow.@Nullable Subscription subscription;

    Attempt(ReplicaId replica) {
      this.replica = replica;
    }

    ReplicaId replica() {
      return replica;
    }

    void setSubscription(Flow.Subscription newSubscription) {
      subscription = newSubscription;
    }

    Flow.Subscription subscription() {
      if (subscription == null) {
        throw new IllegalStateException(
            "no subscription yet for the attempt at replica " + replica);
      }
      return subscription;
    }

    @Override
    public void onChunk(TokenChunk chunk) {
      serialExecutor.execute(() -> GenerationRelay.this.onChunk(this, chunk));
    }

    @Override
    public void onEnd(ForwardEnd end) {
      serialExecutor.execute(() -> GenerationRelay.this.onEnd(this, end));
    }
  }
}
