package dev.apricotmill.benchmarks.policy;

import com.google.common.collect.ImmutableSortedSet;
import dev.apricotmill.benchmarks.fleet.EngineSequence;
import dev.apricotmill.benchmarks.fleet.EventLoop;
import dev.apricotmill.benchmarks.fleet.FakeEngine;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.steward.AdmissionDecision;
import dev.apricotmill.core.steward.QueueDecision;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.core.steward.ReplicaScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Drives the product's scheduler of one replica in virtual time. */
final class StewardModel {

  private static final long ENGINE_HOP_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

  private final EventLoop loop;
  private final FakeEngine engine;
  private final EngineProfile profile;
  private final Objective objective;
  private final Set<Mechanism> disabled;
  private final Map<RequestId, StewardClient> clients = new LinkedHashMap<>();
  private ReplicaScheduler scheduler;
  private long nextPollAt = Long.MAX_VALUE;

  StewardModel(
      EventLoop loop,
      FakeEngine engine,
      EngineProfile profile,
      Objective objective,
      Set<Mechanism> disabled) {
    this.loop = loop;
    this.engine = engine;
    this.profile = profile;
    this.objective = objective;
    this.disabled = disabled;
    this.scheduler = new ReplicaScheduler(profile, objective);
  }

  /** Takes a forwarded request. */
  void accept(GenerationRequest request, StewardClient client) {
    take(client, request.id(), scheduler.offer(request, loop.nowNanos()));
  }

  /** Takes one part of a prompt that several engines read. */
  void acceptMember(GenerationRequest part, StewardClient client) {
    take(client, part.id(), scheduler.offerGroupMember(part, loop.nowNanos()));
  }

  /** Starts a held part. */
  void commit(RequestId id) {
    act(scheduler.commitGroupMember(id, loop.nowNanos()));
  }

  /** Drops a request wherever it is. */
  void cancel(RequestId id) {
    long now = loop.nowNanos();
    clients.remove(id);
    if (!scheduler.withdraw(id, now) && scheduler.release(id, now)) {
      engine.cancel(id.value());
    }
    poll();
  }

  /** Returns the entry daemons that have a request here. */
  ImmutableSortedSet<Integer> daemons() {
    return clients.values().stream()
        .map(StewardClient::daemon)
        .collect(ImmutableSortedSet.toImmutableSortedSet(Integer::compare));
  }

  ReplicaLoad load() {
    return scheduler.load(loop.nowNanos());
  }

  /** Forgets everything, as a new steward does; what the engine held is cancelled. */
  void replace() {
    List<StewardClient> orphans = new ArrayList<>(clients.values());
    clients.keySet().forEach(id -> engine.cancel(id.value()));
    clients.clear();
    scheduler = new ReplicaScheduler(profile, objective);
    orphans.forEach(StewardClient::onLost);
  }

  private void take(StewardClient client, RequestId id, AdmissionDecision decision) {
    if (decision instanceof AdmissionDecision.Refused refused) {
      client.onRefused(refused.reason(), refused.retryAfter());
      return;
    }
    clients.put(id, client);
    client.onAdmitted();
    poll();
  }

  private void poll() {
    for (QueueDecision decision : scheduler.poll(loop.nowNanos())) {
      act(decision);
    }
    long next = loop.nowNanos() + scheduler.nextPoll(loop.nowNanos()).toNanos();
    if (next < nextPollAt || nextPollAt <= loop.nowNanos()) {
      nextPollAt = next;
      loop.at(
          next,
          () -> {
            if (nextPollAt == loop.nowNanos()) {
              nextPollAt = Long.MAX_VALUE;
              if (!clients.isEmpty()) {
                poll();
              }
            }
          });
    }
  }

  private void act(QueueDecision decision) {
    StewardClient client = clients.get(decision.request());
    if (client == null) {
      return;
    }
    if (decision instanceof QueueDecision.Refuse refuse) {
      clients.remove(decision.request());
      client.onRefused(refuse.reason(), refuse.retryAfter());
    } else if (decision instanceof QueueDecision.Hold) {
      client.onHeld();
    } else if (decision instanceof QueueDecision.Dispatch dispatch) {
      int priority = disabled.contains(Mechanism.ENGINE_PRIORITY) ? 0 : dispatch.enginePriority();
      loop.after(ENGINE_HOP_NANOS, () -> start(dispatch.request(), priority, client));
    }
  }

  private void start(RequestId id, int priority, StewardClient client) {
    if (clients.get(id) != client) {
      return;
    }
    EngineSequence sequence = client.sequence(id.value(), priority, new EngineListener(id, client));
    if (!engine.start(sequence)) {
      end(id);
      client.onRefused(RefusalReason.REFUSED_BY_BACKEND, Duration.ZERO);
      poll();
    }
  }

  private boolean end(RequestId id) {
    return clients.remove(id) != null && scheduler.release(id, loop.nowNanos());
  }

  private final class EngineListener implements EngineSequence.Listener {
    private final RequestId id;
    private final StewardClient client;

    EngineListener(RequestId id, StewardClient client) {
      this.id = id;
      this.client = client;
    }

    @Override
    public void onFirstToken(long promptTokens) {
      loop.after(
          ENGINE_HOP_NANOS,
          () -> {
            if (clients.get(id) == client) {
              scheduler.onFirstToken(id, promptTokens, loop.nowNanos());
              client.onFirstToken(promptTokens);
              poll();
            }
          });
    }

    @Override
    public void onFinished() {
      loop.after(
          ENGINE_HOP_NANOS,
          () -> {
            if (clients.get(id) == client && end(id)) {
              client.onFinished();
              poll();
            }
          });
    }

    @Override
    public void onBroken() {
      if (clients.get(id) == client && end(id)) {
        client.onBroken();
        poll();
      }
    }
  }
}
