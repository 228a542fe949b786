package dev.apricotmill.core.steward;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Queue and memory account of one replica. Not safe for use by several threads: the replica's
 * serial executor owns it.
 */
public final class ReplicaScheduler {

  private final EngineProfile profile;
  private final Map<RequestId, GenerationRequest> waiting = new LinkedHashMap<>();
  private final Map<RequestId, Long> reserved = new LinkedHashMap<>();
  private long reservedTokens;

  /** Creates an empty scheduler for an engine of the given profile. */
  public ReplicaScheduler(EngineProfile profile, Objective objective) {
    this.profile = profile;
  }

  /** Decides whether a request may wait here, and queues it if so. */
  public AdmissionDecision offer(GenerationRequest request, long nowNanos) {
    if (request.memoryTokens() > profile.memoryTokens()) {
      return new AdmissionDecision.Refused(RefusalReason.NEVER_FITS, Duration.ZERO);
    }
    waiting.put(request.id(), request);
    return new AdmissionDecision.Admitted(Duration.ZERO);
  }

  /** Returns what to do now with waiting requests, in order; reserves memory for dispatches. */
  public ImmutableList<QueueDecision> poll(long nowNanos) {
    ImmutableList.Builder<QueueDecision> decisions = ImmutableList.builder();
    var remaining = waiting.values().iterator();
    while (remaining.hasNext()) {
      GenerationRequest request = remaining.next();
      if (request.deadline().hasPassed(nowNanos)) {
        remaining.remove();
        decisions.add(
            new QueueDecision.Refuse(request.id(), RefusalReason.EXPIRED, Duration.ofSeconds(1)));
      } else if (reservedTokens + request.memoryTokens() <= profile.memoryTokens()) {
        remaining.remove();
        reserved.put(request.id(), request.memoryTokens());
        reservedTokens += request.memoryTokens();
        decisions.add(new QueueDecision.Dispatch(request.id(), 0));
      }
    }
    return decisions.build();
  }

  /** Notes the first token of a dispatched request. */
  public void onFirstToken(RequestId request, long promptTokens, long nowNanos) {}

  /** Gives back the memory of a dispatched request; returns false if it was already given back. */
  public boolean release(RequestId request, long nowNanos) {
    Long tokens = reserved.remove(request);
    if (tokens == null) {
      return false;
    }
    reservedTokens -= tokens;
    return true;
  }

  /** Removes a request that still waits; returns false if it does not wait here. */
  public boolean withdraw(RequestId request, long nowNanos) {
    return waiting.remove(request) != null;
  }

  /** Returns the delay after which {@link #poll} should be called though nothing happened. */
  public Duration nextPoll(long nowNanos) {
    return Duration.ofMillis(50);
  }

  /** Returns the replica's load. */
  public StewardLoad load(long nowNanos) {
    return new StewardLoad(
        profile.memoryTokens(),
        reservedTokens,
        waiting.size(),
        waiting.values().stream().mapToLong(GenerationRequest::promptTokens).sum(),
        0,
        0,
        0,
        0,
        profile.prefillTokensPerSecond(),
        Duration.ZERO);
  }
}
