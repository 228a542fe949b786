package dev.apricotmill.core.steward;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Admits, queues and dispatches the requests of one replica and accounts for its memory.
 *
 * <p>Not thread-safe: only the replica's serial executor may use it.
 */
public final class ReplicaScheduler {

  private static final Duration MAXIMUM_POLL_DELAY = Duration.ofSeconds(1);
  private static final Duration MINIMUM_POLL_DELAY = Duration.ofMillis(1);

  private final EngineProfile profile;
  private final WaitingQueues queues = new WaitingQueues();
  private final Map<RequestId, RunningRequest> running = new HashMap<>();
  private final Map<RequestId, Deadline> adopted = new HashMap<>();
  private final MemoryAccount account;
  private final PrefillBacklog backlog;
  private final ShortPromptLimiter shortPromptLimiter;
  private final LatencyModel model;

  /** Creates an empty scheduler for an engine of the given profile. */
  public ReplicaScheduler(EngineProfile profile, Objective objective) {
    this.profile = profile;
    this.account =
        new MemoryAccount(profile.memoryTokens(), ShortPromptHeadroom.tokens(profile, objective));
    this.backlog = new PrefillBacklog(profile.prefillTokensPerSecond(), profile.memoryTokens());
    this.shortPromptLimiter =
        new ShortPromptLimiter(objective.longPromptShare(), LengthClass.MEDIUM.maximumTokens());
    this.model = new LatencyModel(profile, objective);
  }

  /** Decides whether a request is admitted, and queues it if so. */
  public AdmissionDecision offer(GenerationRequest request, long nowNanos) {
    return offer(request, WaitingRequest.Kind.WHOLE, nowNanos);
  }

  /**
   * Decides whether one part of a prompt that needs several engines is admitted, and queues it if
   * so. When the part is next in the queue, {@link #poll} returns {@link QueueDecision.Hold} for
   * it.
   *
   * @param part the request, with the prompt length of the part
   * @param nowNanos the monotonic time
   */
  public AdmissionDecision offerGroupMember(GenerationRequest part, long nowNanos) {
    return offer(part, WaitingRequest.Kind.GROUP_MEMBER, nowNanos);
  }

  /**
   * Dispatches a part whose memory is held.
   *
   * @return the dispatch, or a refusal if the part is no longer held here
   */
  public QueueDecision commitGroupMember(RequestId request, long nowNanos) {
    RunningRequest held = running.get(request);
    if (held == null || held.phase() != RunningRequest.Phase.HELD) {
      return new QueueDecision.Refuse(request, RefusalReason.EXPIRED, Duration.ZERO);
    }
    held.enter(RunningRequest.Phase.PREFILL, nowNanos);
    return startPrefill(held.origin().request(), nowNanos);
  }

  /** Returns what to do with waiting requests now, in order; reserves memory for dispatches. */
  public ImmutableList<QueueDecision> poll(long nowNanos) {
    ImmutableList.Builder<QueueDecision> decisions = ImmutableList.builder();
    refuseExpired(decisions, nowNanos);
    if (!isPrefillingLongPrompt()) {
      shortPromptLimiter.reset(nowNanos);
    }
    for (LengthClass lengthClass : queues.classesInOrder(nowNanos)) {
      if (lengthClass.isLong()) {
        dispatchLong(lengthClass, decisions, nowNanos);
      } else {
        dispatchShort(lengthClass, decisions, nowNanos);
      }
    }
    return decisions.build();
  }

  /**
   * Records the first token of a dispatched request.
   *
   * @param request the request
   * @param promptTokens the engine's count of prompt tokens, or 0 if it reported none
   * @param nowNanos the monotonic time
   */
  public void onFirstToken(RequestId request, long promptTokens, long nowNanos) {
    RunningRequest started = running.get(request);
    if (started == null || !backlog.finish(request, nowNanos)) {
      return;
    }
    WaitingRequest origin = started.origin();
    model.onFirstToken(
        origin.lengthClass(),
        origin.predictedFirstTokenSeconds(),
        nowNanos - origin.queuedAtNanos());
    started.enter(RunningRequest.Phase.DECODE, nowNanos);
    if (promptTokens > 0) {
      account.correct(request, promptTokens + origin.request().maximumOutputTokens());
    }
  }

  /** Releases the memory of a dispatched request; returns false if it was already released. */
  public boolean release(RequestId request, long nowNanos) {
    RunningRequest ended = running.remove(request);
    if (ended == null) {
      return adopted.remove(request) != null && account.release(request);
    }
    model.onRelease(account.reservedFor(request), nowNanos);
    if (ended.phase() == RunningRequest.Phase.DECODE) {
      model.onDecodeEnd(
          ended.origin().request().maximumOutputTokens(), nowNanos - ended.phaseSinceNanos());
    }
    backlog.abandon(request, nowNanos);
    return account.release(request);
  }

  /**
   * Adopts a sequence that the engine holds from before this scheduler was created. Its memory is
   * released by {@link #release}, or when its remaining time is over.
   */
  public void adopt(HeldMemory.Sequence sequence, long nowNanos) {
    RequestId request = sequence.id().request();
    if (!running.containsKey(request) && !queues.contains(request)) {
      account.adopt(request, sequence.tokens());
      adopted.put(request, new Deadline(nowNanos + sequence.remaining().toNanos()));
    }
  }

  /** Removes a waiting request; returns false if it is not in the queue. */
  public boolean withdraw(RequestId request, long nowNanos) {
    return queues.withdraw(request);
  }

  /** Returns the delay after which {@link #poll} must be called even if nothing happens. */
  public Duration nextPoll(long nowNanos) {
    long delay = MAXIMUM_POLL_DELAY.toNanos();
    for (WaitingRequest entry : queues.all()) {
      delay = Math.min(delay, entry.request().deadline().atNanos() - nowNanos);
      long nanosUntilAged = entry.queuedAtNanos() + entry.agingThresholdNanos() - nowNanos;
      if (nanosUntilAged > 0) {
        delay = Math.min(delay, nanosUntilAged);
      }
    }
    if (queues.size() > 0 && isPrefillingLongPrompt()) {
      long nanosUntilPermitted =
          shortPromptLimiter.nanosUntilPermitted(backlog.tokensPerSecond(), nowNanos);
      if (nanosUntilPermitted > 0) {
        delay = Math.min(delay, nanosUntilPermitted);
      }
    }
    return Duration.ofNanos(Math.max(MINIMUM_POLL_DELAY.toNanos(), delay));
  }

  /** Returns the replica's current load. */
  public ReplicaLoad load(long nowNanos) {
    long shortTokens = pendingTokens(LengthClass.SHORT, nowNanos);
    long mediumTokens = pendingTokens(LengthClass.MEDIUM, nowNanos);
    long longTokens = pendingTokens(LengthClass.LONG, nowNanos);
    long hugeTokens = pendingTokens(LengthClass.HUGE, nowNanos);
    double rate = backlog.tokensPerSecond();
    return new ReplicaLoad(
        account.capacityTokens(),
        account.reservedTokens(),
        queues.size(),
        shortTokens + mediumTokens + longTokens + hugeTokens,
        shortTokens,
        mediumTokens,
        longTokens,
        backlog.longPrompts() + queues.count(LengthClass.LONG) + queues.count(LengthClass.HUGE),
        rate,
        Duration.ofNanos((long) (shortTokens / rate * TimeUnit.SECONDS.toNanos(1))));
  }

  private AdmissionDecision offer(
      GenerationRequest request, WaitingRequest.Kind kind, long nowNanos) {
    if (request.memoryTokens() > profile.memoryTokens()) {
      return new AdmissionDecision.Refused(RefusalReason.NEVER_FITS, Duration.ZERO);
    }
    if (queues.contains(request.id())
        || running.containsKey(request.id())
        || adopted.containsKey(request.id())) {
      return new AdmissionDecision.Refused(RefusalReason.REQUEST_IN_PROGRESS, Duration.ZERO);
    }
    LengthClass lengthClass = LengthClass.of(request.promptTokens());
    double firstTokenSeconds = predictFirstTokenSeconds(request, lengthClass, nowNanos);
    double upperBoundSeconds =
        firstTokenSeconds * model.upperBoundFactor(lengthClass) + model.decodeSeconds(request);
    double remainingSeconds =
        LatencyModel.seconds(request.deadline().remaining(nowNanos).toNanos());
    if (upperBoundSeconds > remainingSeconds) {
      return new AdmissionDecision.Refused(
          RefusalReason.DEADLINE_UNREACHABLE, duration(upperBoundSeconds - remainingSeconds));
    }
    model.onArrival(lengthClass, request.promptTokens(), nowNanos);
    queues.add(
        new WaitingRequest(
            request,
            kind,
            nowNanos,
            agingThresholdNanos(request, remainingSeconds),
            firstTokenSeconds));
    return new AdmissionDecision.Admitted(duration(firstTokenSeconds));
  }

  private double predictFirstTokenSeconds(
      GenerationRequest request, LengthClass lengthClass, long nowNanos) {
    int priority = EnginePriority.of(request.promptTokens());
    long tokensBefore =
        queues.tokensBefore(lengthClass, request.customer())
            + backlog.remainingTokensUpTo(priority, nowNanos);
    double rate = backlog.tokensPerSecond();
    double prefillSeconds =
        (tokensBefore + request.promptTokens()) / model.prefillRateFor(lengthClass, rate, nowNanos);
    long missingMemoryTokens = request.memoryTokens() - account.freeTokens();
    return prefillSeconds + model.secondsUntilReleased(missingMemoryTokens, rate, nowNanos);
  }

  private long agingThresholdNanos(GenerationRequest request, double remainingSeconds) {
    double prefillSeconds = request.promptTokens() / backlog.tokensPerSecond();
    double slackSeconds = remainingSeconds - prefillSeconds - model.decodeSeconds(request);
    return duration(Math.max(0, slackSeconds / 2)).toNanos();
  }

  private void refuseExpired(ImmutableList.Builder<QueueDecision> decisions, long nowNanos) {
    List<WaitingRequest> expired = new ArrayList<>();
    for (WaitingRequest entry : queues.all()) {
      if (entry.request().deadline().hasPassed(nowNanos)) {
        expired.add(entry);
      }
    }
    for (WaitingRequest entry : expired) {
      RequestId id = entry.request().id();
      queues.withdraw(id);
      double wait = predictFirstTokenSeconds(entry.request(), entry.lengthClass(), nowNanos);
      decisions.add(new QueueDecision.Refuse(id, RefusalReason.EXPIRED, duration(wait)));
    }
    releaseExpired(nowNanos);
  }

  private void releaseExpired(long nowNanos) {
    List<RequestId> expired = new ArrayList<>();
    for (RunningRequest entry : running.values()) {
      GenerationRequest request = entry.origin().request();
      if (entry.phase() == RunningRequest.Phase.HELD && request.deadline().hasPassed(nowNanos)) {
        expired.add(request.id());
      }
    }
    adopted.forEach(
        (request, deadline) -> {
          if (deadline.hasPassed(nowNanos)) {
            expired.add(request);
          }
        });
    expired.forEach(id -> release(id, nowNanos));
  }

  private void dispatchShort(
      LengthClass lengthClass, ImmutableList.Builder<QueueDecision> decisions, long nowNanos) {
    WaitingRequest head = queues.head(lengthClass).orElse(null);
    while (head != null && mayDispatchShort(head, nowNanos)) {
      if (isPrefillingLongPrompt()) {
        shortPromptLimiter.consume(head.request().promptTokens());
      }
      decisions.add(dispatch(head, nowNanos));
      head = queues.head(lengthClass).orElse(null);
    }
  }

  private boolean mayDispatchShort(WaitingRequest entry, long nowNanos) {
    LengthClass lengthClass = entry.lengthClass();
    GenerationRequest request = entry.request();
    int priority = EnginePriority.of(request.promptTokens());
    return running.size() < profile.maximumSequences()
        && account.fits(lengthClass, request.memoryTokens())
        && backlog.remainingTokensUpTo(priority, nowNanos) < lengthClass.maximumTokens()
        && (lengthClass == LengthClass.SHORT || leavesMemoryForAgedLong(request, nowNanos))
        && (!isPrefillingLongPrompt()
            || shortPromptLimiter.permits(backlog.tokensPerSecond(), nowNanos));
  }

  private boolean leavesMemoryForAgedLong(GenerationRequest request, long nowNanos) {
    long requiredByLong = 0;
    for (LengthClass lengthClass : LengthClass.values()) {
      if (lengthClass.isLong()) {
        WaitingRequest head = queues.head(lengthClass).orElse(null);
        if (head != null && head.isAged(nowNanos)) {
          requiredByLong = Math.max(requiredByLong, head.request().memoryTokens());
        }
      }
    }
    return requiredByLong == 0 || account.freeTokens() - request.memoryTokens() >= requiredByLong;
  }

  private void dispatchLong(
      LengthClass lengthClass, ImmutableList.Builder<QueueDecision> decisions, long nowNanos) {
    for (WaitingRequest entry : queues.inOrder(lengthClass)) {
      GenerationRequest request = entry.request();
      int priority = EnginePriority.of(request.promptTokens());
      if (running.size() < profile.maximumSequences()
          && priority < backlog.mostUrgentLongPriority()
          && account.fits(lengthClass, request.memoryTokens())) {
        decisions.add(dispatch(entry, nowNanos));
      }
    }
  }

  private QueueDecision dispatch(WaitingRequest entry, long nowNanos) {
    GenerationRequest request = entry.request();
    if (!account.reserve(request.id(), entry.lengthClass(), request.memoryTokens())) {
      throw new IllegalStateException(
          "reservation failed for "
              + request.id()
              + " after a successful check: needs "
              + request.memoryTokens()
              + " tokens, "
              + account.freeTokens()
              + " free");
    }
    queues.serve(entry);
    if (entry.kind() == WaitingRequest.Kind.GROUP_MEMBER) {
      running.put(request.id(), new RunningRequest(entry, RunningRequest.Phase.HELD, nowNanos));
      return new QueueDecision.Hold(request.id());
    }
    running.put(request.id(), new RunningRequest(entry, RunningRequest.Phase.PREFILL, nowNanos));
    return startPrefill(request, nowNanos);
  }

  private QueueDecision startPrefill(GenerationRequest request, long nowNanos) {
    int priority = EnginePriority.of(request.promptTokens());
    backlog.start(request.id(), request.promptTokens(), priority, nowNanos);
    return new QueueDecision.Dispatch(request.id(), priority);
  }

  private boolean isPrefillingLongPrompt() {
    return backlog.longPrompts() > 0;
  }

  private long pendingTokens(LengthClass lengthClass, long nowNanos) {
    return queues.tokens(lengthClass) + backlog.remainingTokens(lengthClass, nowNanos);
  }

  private static Duration duration(double seconds) {
    return Duration.ofNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
  }
}
