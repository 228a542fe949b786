package dev.apricotmill.node.steward;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.MoreExecutors;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.cleanup.CleanUpPlan;
import dev.apricotmill.core.cleanup.CleanUpPlanner;
import dev.apricotmill.core.cleanup.CleanUpView;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineResult;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.ModelEngine;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.steward.AdmissionDecision;
import dev.apricotmill.core.steward.QueueDecision;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.core.steward.ReplicaScheduler;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Queues, dispatches and cleans up the requests of one replica that this daemon owns. All state is
 * confined to one sequential executor.
 *
 * <p>Ownership is not exclusive: two stewards of one replica waste capacity but break no guarantee,
 * because each request belongs to exactly one of them.
 */
final class ReplicaSteward {

  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration HELD_MEMORY_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Timing timing;
  private final Supplier<Incarnation> self;
  private final ModelEngine engine;
  private final ReplicaScheduler scheduler;
  private final Executor serialExecutor;
  private final Runnable sequenceEndCallback;
  private final Map<RequestId, RunningSequence> sequences = new LinkedHashMap<>();
  private @Nullable Future<?> nextPoll;
  private final CleanUpPlanner cleanUpPlanner = new CleanUpPlanner();
  private Intake intake = Intake.OPEN;

  ReplicaSteward(
      Timing timing,
      Supplier<Incarnation> self,
      ModelEngine engine,
      ReplicaScheduler scheduler,
      Runnable sequenceEndCallback) {
    this.timing = timing;
    this.self = self;
    this.engine = engine;
    this.scheduler = scheduler;
    this.sequenceEndCallback = sequenceEndCallback;
    this.serialExecutor = MoreExecutors.newSequentialExecutor(timing.scheduler());
  }

  /** Whether the engine may still hold memory for a sequence. */
  private enum EngineMemory {
    MAY_HOLD,
    FREED
  }

  /** Whether new requests are accepted. */
  private enum Intake {
    OPEN,
    CLOSED
  }

  Incarnation self() {
    return self.get();
  }

  ModelEngine engine() {
    return engine;
  }

  /** Called exactly once for each accepted request, whatever its outcome. */
  void notifySequenceEnd() {
    sequenceEndCallback.run();
  }

  void execute(Runnable task) {
    serialExecutor.execute(task);
  }

  Flow.Subscription accept(ForwardedRequest forwarded, ForwardListener listener) {
    RunningSequence sequence = new RunningSequence(this, forwarded, listener);
    execute(() -> offer(sequence));
    return new Flow.Subscription() {
      @Override
      public void request(long chunks) {
        execute(() -> sequence.addCredit(chunks));
      }

      @Override
      public void cancel() {
        execute(() -> ReplicaSteward.this.cancel(sequence));
      }
    };
  }

  /** Refuses queued and new requests; running ones continue. */
  void closeIntake(RefusalReason reason) {
    execute(
        () -> {
          intake = Intake.CLOSED;
          refuseQueued(reason);
        });
  }

  /** Accepts requests again. */
  void openIntake() {
    execute(() -> intake = Intake.OPEN);
  }

  /** Refuses queued requests: a newer incarnation of this daemon must not dispatch them. */
  void refuseQueuedAfterPause() {
    execute(() -> refuseQueued(RefusalReason.DAEMON_PAUSED));
  }

  private void offer(RunningSequence sequence) {
    GenerationRequest request = sequence.forwarded().request();
    if (intake == Intake.CLOSED) {
      refuse(sequence, RefusalReason.DRAINING, RETRY_AFTER);
      return;
    }
    if (sequences.containsKey(request.id())) {
      cancelSuperseded(request.id());
    }
    AdmissionDecision decision = scheduler.offer(request, timing.nanoTime());
    if (decision instanceof AdmissionDecision.Refused refused) {
      refuse(sequence, refused.reason(), refused.retryAfter());
      return;
    }
    sequences.put(request.id(), sequence);
    poll();
  }

  /** An entry daemon that forwards a request again has abandoned the earlier forward. */
  private void cancelSuperseded(RequestId request) {
    RunningSequence earlier = sequences.get(request);
    if (earlier != null) {
      cancel(earlier);
    }
  }

  private void poll() {
    long now = timing.nanoTime();
    for (QueueDecision decision : scheduler.poll(now)) {
      RunningSequence sequence = sequences.get(decision.request());
      if (sequence == null) {
        scheduler.release(decision.request(), now);
      } else if (decision instanceof QueueDecision.Dispatch dispatch) {
        dispatch(sequence, dispatch);
      } else if (decision instanceof QueueDecision.Refuse refusal) {
        sequences.remove(refusal.request());
        refuse(sequence, refusal.reason(), refusal.retryAfter());
      }
    }
    schedulePoll();
  }

  private void schedulePoll() {
    if (nextPoll != null) {
      nextPoll.cancel(false);
      nextPoll = null;
    }
    if (!sequences.isEmpty()) {
      Duration delay = scheduler.nextPoll(timing.nanoTime());
      nextPoll = timing.schedule(delay, () -> execute(this::pollAndExpire));
    }
  }

  private void pollAndExpire() {
    long now = timing.nanoTime();
    for (RunningSequence sequence : ImmutableList.copyOf(sequences.values())) {
      if (sequence.dispatched() && sequence.forwarded().request().deadline().hasPassed(now)) {
        fail(sequence, FailureReason.TIMED_OUT);
      }
    }
    poll();
  }

  private void dispatch(RunningSequence sequence, QueueDecision.Dispatch decision) {
    Incarnation currentIncarnation = self.get();
    if (!currentIncarnation.equals(sequence.acceptingIncarnation())) {
      finish(
          sequence,
          new Outcome.Refused(RefusalReason.DAEMON_PAUSED, RETRY_AFTER),
          ForwardEnd.Usage.NONE,
          EngineMemory.FREED);
      return;
    }
    ForwardedRequest forwarded = sequence.forwarded();
    GenerationRequest request = forwarded.request();
    Duration remaining = request.deadline().remaining(timing.nanoTime());
    SequenceId id = new SequenceId(currentIncarnation, request.id(), forwarded.attempt());
    sequence.dispatch(
        new EngineRequest(
            id,
            request.prompt(),
            request.maximumOutputTokens(),
            decision.enginePriority(),
            remaining,
            forwarded.resumeAt(),
            forwarded.generatedText()));
  }

  void onFirstToken(RunningSequence sequence) {
    GenerationRequest request = sequence.forwarded().request();
    scheduler.onFirstToken(request.id(), request.promptTokens(), timing.nanoTime());
    poll();
  }

  void onEngineEnd(RunningSequence sequence, GenerationEnd end) {
    if (end instanceof GenerationEnd.Finished finished) {
      finish(sequence, outcomeOf(sequence, finished), usageOf(finished), EngineMemory.FREED);
    } else if (end instanceof GenerationEnd.NotStarted notStarted) {
      Duration retryAfter =
          notStarted.retryAfter().isZero() ? RETRY_AFTER : notStarted.retryAfter();
      finish(
          sequence,
          new Outcome.Refused(RefusalReason.REFUSED_BY_BACKEND, retryAfter),
          ForwardEnd.Usage.NONE,
          EngineMemory.FREED);
    } else {
      fail(sequence, FailureReason.STREAM_BROKEN);
    }
  }

  /** An end that arrives before all of its chunks means that the stream is broken. */
  private static Outcome outcomeOf(RunningSequence sequence, GenerationEnd.Finished finished) {
    return finished.outputTokens() == sequence.nextPosition()
        ? new Outcome.Answered(200)
        : new Outcome.Failed(FailureReason.STREAM_BROKEN);
  }

  private static ForwardEnd.Usage usageOf(GenerationEnd.Finished finished) {
    return new ForwardEnd.Usage(
        finished.promptTokens(), finished.outputTokens(), finished.reason());
  }

  private void cancel(RunningSequence sequence) {
    if (!sequence.markEnded()) {
      return;
    }
    releaseResources(sequence, EngineMemory.MAY_HOLD);
    poll();
  }

  private void fail(RunningSequence sequence, FailureReason reason) {
    finish(sequence, new Outcome.Failed(reason), ForwardEnd.Usage.NONE, EngineMemory.MAY_HOLD);
  }

  private void finish(
      RunningSequence sequence,
      Outcome outcome,
      ForwardEnd.Usage usage,
      EngineMemory engineMemory) {
    if (!sequence.markEnded()) {
      return;
    }
    releaseResources(sequence, engineMemory);
    poll();
    report(sequence, outcome, usage);
  }

  /** Releases the reservation once, and cancels on an engine that may still hold the sequence. */
  private void releaseResources(RunningSequence sequence, EngineMemory engineMemory) {
    RequestId request = sequence.forwarded().request().id();
    sequences.remove(request, sequence);
    if (!sequence.dispatched()) {
      boolean wasQueued = scheduler.withdraw(request, timing.nanoTime());
      if (!wasQueued) {
        scheduler.release(request, timing.nanoTime());
      }
      return;
    }
    scheduler.release(request, timing.nanoTime());
    EngineRequest engineRequest = sequence.engineRequest();
    if (engineRequest != null && engineMemory == EngineMemory.MAY_HOLD) {
      sequence.stopStream();
      engine.cancel(engineRequest.sequence(), CANCEL_TIMEOUT);
    }
  }

  private void refuseQueued(RefusalReason reason) {
    for (RunningSequence sequence : ImmutableList.copyOf(sequences.values())) {
      if (!sequence.dispatched()) {
        finish(
            sequence,
            new Outcome.Refused(reason, RETRY_AFTER),
            ForwardEnd.Usage.NONE,
            EngineMemory.FREED);
      }
    }
  }

  private void refuse(RunningSequence sequence, RefusalReason reason, Duration retryAfter) {
    sequence.markEnded();
    report(sequence, new Outcome.Refused(reason, retryAfter), ForwardEnd.Usage.NONE);
  }

  private void report(RunningSequence sequence, Outcome outcome, ForwardEnd.Usage usage) {
    ReplicaLoad load = scheduler.load(timing.nanoTime());
    sequence.listener().onEnd(new ForwardEnd.Reported(outcome, usage, load));
  }

  /** Frees engine memory of sequences and exports that no running request needs. */
  void cleanUp(CleanUpView view) {
    execute(
        () ->
            engine
                .heldMemory(HELD_MEMORY_TIMEOUT)
                .thenAccept(result -> execute(() -> cleanUp(view, result))));
  }

  private void cleanUp(CleanUpView view, EngineResult<HeldMemory> result) {
    if (!(result instanceof EngineResult.Success<HeldMemory> success)) {
      return;
    }
    CleanUpPlan plan =
        cleanUpPlanner.plan(success.value(), view, dispatchedIds(), timing.nanoTime());
    plan.sequences().forEach(id -> engine.cancel(id, CANCEL_TIMEOUT));
    plan.exports().forEach(id -> engine.releaseExport(id, CANCEL_TIMEOUT));
  }

  private ImmutableSet<SequenceId> dispatchedIds() {
    ImmutableSet.Builder<SequenceId> ids = ImmutableSet.builder();
    for (RunningSequence sequence : sequences.values()) {
      EngineRequest engineRequest = sequence.engineRequest();
      if (engineRequest != null) {
        ids.add(engineRequest.sequence());
      }
    }
    return ids.build();
  }

  /** Returns the load; it is read on the sequential executor. */
  CompletionStage<ReplicaLoad> load() {
    return CompletableFuture.supplyAsync(() -> scheduler.load(timing.nanoTime()), serialExecutor);
  }
}
