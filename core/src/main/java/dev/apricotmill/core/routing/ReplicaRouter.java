package dev.apricotmill.core.routing;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Chooses a replica for a request. Safe for use by several threads. */
public final class ReplicaRouter {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Zone ownZone;

  /** Creates a router for an entry daemon in {@code ownZone}. */
  public ReplicaRouter(Zone ownZone) {
    this.ownZone = ownZone;
  }

  /**
   * Chooses a replica.
   *
   * @param request the request
   * @param replicas the replicas of its service
   * @param tried replicas that failed this request before
   * @param random the source of random choices
   * @param nowNanos the monotonic time
   */
  public RoutingDecision choose(
      GenerationRequest request,
      ImmutableList<ReplicaView> replicas,
      Set<ReplicaId> tried,
      RandomGenerator random,
      long nowNanos) {
    List<ReplicaView> usable =
        replicas.stream().filter(view -> view.usable() && !tried.contains(view.replica())).toList();
    if (usable.isEmpty()) {
      return new RoutingDecision.Refuse(RefusalReason.NO_REPLICA, RETRY_AFTER);
    }
    List<ReplicaView> near = usable.stream().filter(view -> view.zone().equals(ownZone)).toList();
    boolean spill = near.isEmpty();
    List<ReplicaView> candidates = spill ? usable : near;
    ReplicaView first = candidates.get(random.nextInt(candidates.size()));
    ReplicaView second = candidates.get(random.nextInt(candidates.size()));
    boolean firstIsLighter =
        first.load().queuedPromptTokens() <= second.load().queuedPromptTokens();
    return new RoutingDecision.Forward(
        firstIsLighter ? first : second,
        spill ? RoutingDecision.Cause.SPILL : RoutingDecision.Cause.LOWER_LOAD);
  }
}
