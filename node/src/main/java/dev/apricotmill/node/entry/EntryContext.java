package dev.apricotmill.node.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.core.peer.StewardPeers;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.routing.ReplicaRouter;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.routing.RoutingDecision;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.fleet.ReplicaLoads;
import dev.apricotmill.node.fleet.ReplicaTarget;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Flow;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The objects that all requests of the entry role share.
 *
 * @param timing time and the scheduler
 * @param self supplies the daemon's current incarnation
 * @param fleet supplies the current view of the fleet
 * @param replicaLoads the last reported load of each replica
 * @param routers the replica routers by objective
 * @param stewardPeers forwards requests to the stewards of other daemons
 * @param localSteward the steward role of this daemon
 * @param retryBudget bounds retries to a share of the requests
 * @param random the source of random choices
 */
public record EntryContext(
    Timing timing,
    Supplier<Incarnation> self,
    Supplier<FleetView> fleet,
    ReplicaLoads replicaLoads,
    ImmutableMap<Objective, ReplicaRouter> routers,
    StewardPeers stewardPeers,
    StewardEndpoint localSteward,
    RetryBudget retryBudget,
    RandomGenerator random) {

  /** The most consecutive forwards of one request that deliver no token. */
  static final int MAXIMUM_ATTEMPTS = 4;

  /** Chooses a replica that is not in {@code tried}. */
  RoutingDecision route(GenerationRequest request, Set<ReplicaId> tried) {
    ImmutableList.Builder<ReplicaView> views = ImmutableList.builder();
    for (ReplicaTarget target : fleet.get().targetsOf(request.service())) {
      toView(target).ifPresent(views::add);
    }
    return router().choose(request, views.build(), tried, random, timing.nanoTime());
  }

  /** Forwards a request to the steward of a replica, which may be this daemon. */
  Flow.Subscription forward(ReplicaId replica, ForwardedRequest request, ForwardListener listener) {
    Optional<Member> steward = fleet.get().target(replica).flatMap(ReplicaTarget::steward);
    if (steward.isEmpty()) {
      listener.onEnd(new ForwardEnd.NotSent());
      return NoOpSubscription.INSTANCE;
    }
    if (steward.get().incarnation().daemon().equals(self.get().daemon())) {
      return localSteward.accept(request, listener);
    }
    return stewardPeers.forward(steward.get().address(), request, listener);
  }

  /** Returns the name of the daemon that owns a replica, {@code none} if there is none. */
  String stewardName(ReplicaId replica) {
    return fleet
        .get()
        .target(replica)
        .flatMap(ReplicaTarget::steward)
        .map(member -> member.incarnation().daemon().name())
        .orElse("none");
  }

  /** Records a replica's load as of now. */
  void observeLoad(ReplicaId replica, ReplicaLoad load) {
    replicaLoads.observe(replica, load, timing.nanoTime());
  }

  private ReplicaRouter router() {
    Objective objective = fleet.get().configuration().objective();
    ReplicaRouter router = routers.get(objective);
    if (router == null) {
      throw new IllegalStateException(
          "no router for objective " + objective + ", have " + routers.keySet());
    }
    return router;
  }

  private Optional<ReplicaView> toView(ReplicaTarget target) {
    ReplicaId replica = target.replica().id();
    ReplicaLoads.Observation observation = replicaLoads.of(replica);
    return target
        .steward()
        .map(
            steward ->
                new ReplicaView(
                    replica,
                    target.replica().zone(),
                    steward.incarnation().daemon(),
                    observation.load(),
                    observation.observedNanos(),
                    target.usable()));
  }
}
