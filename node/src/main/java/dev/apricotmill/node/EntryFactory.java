package dev.apricotmill.node;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.ledger.Claims;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.core.routing.ReplicaRouter;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.call.CallContext;
import dev.apricotmill.node.call.CallEntry;
import dev.apricotmill.node.entry.AdmissionPolicy;
import dev.apricotmill.node.entry.EntryContext;
import dev.apricotmill.node.entry.GenerationEntry;
import dev.apricotmill.node.entry.RequestLimiter;
import dev.apricotmill.node.entry.RequestMeters;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.fleet.ReplicaLoads;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Creates the entries for callers' requests; they share limits, metrics and the retry budget. */
final class EntryFactory {

  private static final int RETRIES_PER_THOUSAND_REQUESTS = 100;
  private static final int MAXIMUM_SAVED_RETRIES = 20;

  private final NodeSettings settings;
  private final NodeDependencies dependencies;
  private final Supplier<Incarnation> self;
  private final Supplier<FleetView> fleet;
  private final RequestLimiter requestLimiter;
  private final Supplier<NodeStatus.Phase> phase;
  private final AdmissionPolicy policy;
  private final RequestMeters meters;
  private final RetryBudget retryBudget =
      new RetryBudget(RETRIES_PER_THOUSAND_REQUESTS, MAXIMUM_SAVED_RETRIES);

  EntryFactory(
      NodeSettings settings,
      NodeDependencies dependencies,
      Supplier<Incarnation> self,
      Supplier<FleetView> fleet,
      RequestLimiter requestLimiter,
      Supplier<NodeStatus.Phase> phase) {
    this.settings = settings;
    this.dependencies = dependencies;
    this.self = self;
    this.fleet = fleet;
    this.requestLimiter = requestLimiter;
    this.phase = phase;
    this.policy = new AdmissionPolicy(settings);
    this.meters = new RequestMeters(dependencies.meters());
  }

  GenerationEntry newGenerationEntry(StewardEndpoint localSteward, ReplicaLoads replicaLoads) {
    EntryContext context =
        new EntryContext(
            dependencies.timing(),
            self,
            fleet,
            replicaLoads,
            routers(),
            dependencies.stewardPeers(),
            localSteward,
            retryBudget,
            dependencies.random());
    return new GenerationEntry(
        context, policy, requestLimiter, phase, meters, dependencies.tracer());
  }

  private ImmutableMap<Objective, ReplicaRouter> routers() {
    return Stream.of(Objective.values())
        .collect(
            ImmutableMap.toImmutableMap(
                objective -> objective,
                objective -> new ReplicaRouter(settings.zone(), objective)));
  }

  CallEntry newCallEntry(Claims claims, Predicate<Incarnation> mayBeRunning) {
    CallContext context =
        new CallContext(
            dependencies.timing(),
            settings.zone(),
            self,
            fleet,
            dependencies.services(),
            claims,
            mayBeRunning,
            retryBudget,
            dependencies.random());
    return new CallEntry(context, phase, policy, requestLimiter, meters, dependencies.tracer());
  }
}
