package dev.apricotmill.benchmarks.policy;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.benchmarks.fleet.Replicas;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.fairness.CustomerLimiter;
import dev.apricotmill.core.group.GroupPlanner;
import dev.apricotmill.core.health.ReplicaHealth;
import dev.apricotmill.core.length.LengthEstimator;
import dev.apricotmill.core.routing.ReplicaRouter;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.steward.ReplicaLoad;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/** What one entry daemon knows: its router, its length estimates and its views of the replicas. */
final class EntryModel {

  private static final DaemonId STEWARD = new DaemonId("steward");

  /** The share of requests that an entry node may send again, as in a serving node. */
  private static final int REPEATS_PER_THOUSAND = 100;

  private static final int SAVED_REPEATS = 20;

  private final Zone zone;
  private final ReplicaRouter router;
  private final GroupPlanner planner;
  private final ReplicaHealth health = new ReplicaHealth();
  private final CustomerLimiter limiter = new CustomerLimiter();
  private final RetryBudget budget = new RetryBudget(REPEATS_PER_THOUSAND, SAVED_REPEATS);
  private final LengthEstimator estimator = new LengthEstimator();
  private final SplittableRandom random;
  private final List<KnownLoad> loads = new ArrayList<>();
  private final Set<Mechanism> disabled;
  private long decisions;
  private boolean alive = true;

  EntryModel(
      int number,
      int replicas,
      EngineProfile profile,
      Objective objective,
      Set<Mechanism> disabled,
      long seed) {
    this.zone = Replicas.zone(number);
    this.router = new ReplicaRouter(zone, objective);
    this.planner = new GroupPlanner(profile, objective);
    this.random = new SplittableRandom(seed * 31 + number);
    this.disabled = disabled;
    ReplicaLoad idle =
        new ReplicaLoad(
            profile.memoryTokens(),
            0,
            0,
            0,
            0,
            0,
            0,
            0,
            profile.prefillTokensPerSecond(),
            Duration.ZERO);
    for (int replica = 0; replica < replicas; replica++) {
      loads.add(new KnownLoad(idle, 0));
    }
  }

  Zone zone() {
    return zone;
  }

  ReplicaRouter router() {
    return router;
  }

  GroupPlanner planner() {
    return planner;
  }

  ReplicaHealth health() {
    return health;
  }

  CustomerLimiter limiter() {
    return limiter;
  }

  RetryBudget budget() {
    return budget;
  }

  LengthEstimator estimator() {
    return estimator;
  }

  SplittableRandom random() {
    return random;
  }

  boolean isAlive() {
    return alive;
  }

  void die() {
    alive = false;
  }

  /** Notes a load that came with an answer. */
  void heard(int replica, ReplicaLoad load, long nowNanos) {
    loads.set(replica, new KnownLoad(load, nowNanos));
  }

  /** Returns the views of the replicas that this daemon can reach. */
  ImmutableList<ReplicaView> views(IntPredicate reachable, long nowNanos) {
    ImmutableList.Builder<ReplicaView> views = ImmutableList.builder();
    decisions++;
    for (int replica = 0; replica < loads.size(); replica++) {
      KnownLoad known = loads.get(replica);
      Zone replicaZone = Replicas.zone(replica);
      if (disabled.contains(Mechanism.SPILL) && !replicaZone.equals(zone)) {
        continue;
      }
      long heardAt =
          disabled.contains(Mechanism.SENT_WORK)
              ? Math.min(nowNanos, known.atNanos + decisions % 2)
              : known.atNanos;
      views.add(
          new ReplicaView(
              Replicas.id(replica),
              replicaZone,
              STEWARD,
              known.load,
              heardAt,
              reachable.test(replica)));
    }
    ImmutableList<ReplicaView> known = views.build();
    return disabled.contains(Mechanism.EJECTION) ? known : health.apply(known, nowNanos);
  }

  private record KnownLoad(ReplicaLoad load, long atNanos) {}
}
