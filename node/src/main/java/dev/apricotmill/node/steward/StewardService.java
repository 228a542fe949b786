package dev.apricotmill.node.steward;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.cleanup.CleanUpView;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.engine.EngineConnector;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.core.steward.ReplicaScheduler;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.fleet.ReplicaTarget;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The steward role: accepts forwarded requests for all replicas that this daemon owns, and
 * schedules their work.
 */
public final class StewardService implements StewardEndpoint {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Timing timing;
  private final Supplier<Incarnation> self;
  private final Supplier<FleetView> fleet;
  private final EngineConnector engines;
  private final Runnable onIdle;
  private final ConcurrentMap<ReplicaId, KeyedSteward> stewards = new ConcurrentHashMap<>();
  private final AtomicInteger openRequests = new AtomicInteger();
  private volatile boolean draining;

  /**
   * Creates the steward role.
   *
   * @param timing time and the scheduler
   * @param self supplies the daemon's current incarnation
   * @param fleet supplies the current view of the fleet
   * @param engines connects to the model engines
   * @param onIdle called whenever the number of open forwarded requests drops to zero
   */
  public StewardService(
      Timing timing,
      Supplier<Incarnation> self,
      Supplier<FleetView> fleet,
      EngineConnector engines,
      Runnable onIdle) {
    this.timing = timing;
    this.self = self;
    this.fleet = fleet;
    this.engines = engines;
    this.onIdle = onIdle;
  }

  /** What a steward was created for; a change of any of these needs a new steward. */
  private record StewardKey(Replica replica, EngineProfile profile, Objective objective) {}

  private record KeyedSteward(StewardKey key, ReplicaSteward steward) {}

  @Override
  public Flow.Subscription accept(ForwardedRequest request, ForwardListener listener) {
    FleetView view = fleet.get();
    Optional<ReplicaTarget> target = view.target(request.replica());
    if (target.isEmpty() || !(target.get().service() instanceof Service.ModelPool pool)) {
      return refuse(listener, RefusalReason.NO_REPLICA);
    }
    if (draining) {
      return refuse(listener, RefusalReason.DRAINING);
    }
    if (!target.get().usable()) {
      return refuse(listener, RefusalReason.NO_REPLICA);
    }
    openRequests.incrementAndGet();
    ReplicaSteward steward = stewardFor(target.get().replica(), pool, view);
    return steward.accept(request, listener);
  }

  /** Refuses queued and new requests; running ones continue. */
  public void drain() {
    draining = true;
    stewards.values().forEach(entry -> entry.steward().closeIntake(RefusalReason.DRAINING));
  }

  /** Refuses the requests that were queued under an earlier incarnation of this daemon. */
  public void refuseQueued() {
    stewards.values().forEach(entry -> entry.steward().refuseQueuedAfterPause());
  }

  /** Applies a change of the fleet: unusable replicas receive no new requests. */
  public void onFleetChanged(FleetView view) {
    for (Map.Entry<ReplicaId, KeyedSteward> entry : stewards.entrySet()) {
      boolean usable = view.target(entry.getKey()).map(ReplicaTarget::usable).orElse(false);
      if (!usable || draining) {
        entry.getValue().steward().closeIntake(RefusalReason.NO_REPLICA);
      } else {
        entry.getValue().steward().openIntake();
      }
    }
  }

  /** Frees memory on the engines of owned replicas that no running request needs. */
  public void cleanUp(CleanUpView cleanUpView) {
    FleetView view = fleet.get();
    for (ReplicaTarget target : view.targetsByReplica().values()) {
      if (isOwnedBySelf(target) && target.service() instanceof Service.ModelPool pool) {
        stewardFor(target.replica(), pool, view).cleanUp(cleanUpView);
      }
    }
  }

  /** Returns the number of open forwarded requests. */
  public int openRequestCount() {
    return openRequests.get();
  }

  private boolean isOwnedBySelf(ReplicaTarget target) {
    return target
        .steward()
        .map(member -> member.incarnation().daemon().equals(self.get().daemon()))
        .orElse(false);
  }

  private ReplicaSteward stewardFor(Replica replica, Service.ModelPool pool, FleetView view) {
    StewardKey key = new StewardKey(replica, pool.profile(), view.configuration().objective());
    return stewards.compute(replica.id(), (id, existing) -> reuseOrCreate(existing, key)).steward();
  }

  private KeyedSteward reuseOrCreate(@Nullable KeyedSteward existing, StewardKey key) {
    if (existing != null && existing.key().equals(key)) {
      return existing;
    }
    if (existing != null) {
      existing.steward().closeIntake(RefusalReason.NO_REPLICA);
    }
    ReplicaScheduler scheduler = new ReplicaScheduler(key.profile(), key.objective());
    return new KeyedSteward(
        key,
        new ReplicaSteward(
            timing, self, engines.connect(key.replica()), scheduler, this::onRequestEnded));
  }

  private static Flow.Subscription refuse(ForwardListener listener, RefusalReason reason) {
    listener.onEnd(
        new ForwardEnd.Reported(
            new Outcome.Refused(reason, RETRY_AFTER), ForwardEnd.Usage.NONE, ReplicaLoad.UNKNOWN));
    return new Flow.Subscription() {
      @Override
      public void request(long chunks) {}

      @Override
      public void cancel() {}
    };
  }

  private void onRequestEnded() {
    if (openRequests.decrementAndGet() == 0) {
      onIdle.run();
    }
  }
}
