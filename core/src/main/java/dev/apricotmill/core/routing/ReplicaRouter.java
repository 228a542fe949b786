package dev.apricotmill.core.routing;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Chooses a replica for a request by prefix affinity, length class, last reported load and zone.
 *
 * <p>Thread-safe. Each choice counts at once as work sent to the replica, until the replica's next
 * load report.
 */
public final class ReplicaRouter {

  private static final int MAXIMUM_EXAMINED_REPLICAS = 32;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Zone ownZone;
  private final double longPromptWeight;
  private final ReplicaLoadEstimator loadEstimator = new ReplicaLoadEstimator();
  private final AtomicReference<ZonePartition> lastPartition;

  /**
   * Creates a router for an entry daemon in {@code ownZone} with {@link
   * Objective#SHORT_REQUEST_SLOWDOWN}.
   */
  public ReplicaRouter(Zone ownZone) {
    this(ownZone, Objective.SHORT_REQUEST_SLOWDOWN);
  }

  /** Creates a router for an entry daemon in {@code ownZone}. */
  public ReplicaRouter(Zone ownZone, Objective objective) {
    this.ownZone = ownZone;
    this.lastPartition = new AtomicReference<>(ZonePartition.of(ImmutableList.of(), ownZone));
    this.longPromptWeight = objective.longPromptShare() / (1 - objective.longPromptShare());
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
    ZonePartition candidates = partition(replicas).candidates(request, tried);
    if (candidates.isEmpty()) {
      boolean anyFits = replicas.stream().anyMatch(view -> ZonePartition.fits(view, request));
      return anyFits || replicas.isEmpty()
          ? new RoutingDecision.Refuse(RefusalReason.NO_REPLICA, RETRY_AFTER)
          : new RoutingDecision.Refuse(RefusalReason.NEVER_FITS, Duration.ZERO);
    }
    RoutingDecision.Forward chosen =
        chooseAmong(request, candidates.sameZone(), candidates.otherZones(), random, nowNanos);
    loadEstimator.onSend(chosen.target(), request);
    return chosen;
  }

  /** Predicts the wait of a request at a replica in seconds, from what this daemon knows. */
  public double waitSeconds(GenerationRequest request, ReplicaView view, long nowNanos) {
    return loadEstimator.waitSeconds(view, request, nowNanos);
  }

  /** Records work that was sent to a replica without a choice of this router. */
  public void onSend(GenerationRequest request, ReplicaView view) {
    loadEstimator.onSend(view, request);
  }

  /** Drops the state of replicas that are not in {@code configured}. */
  public void retain(Set<ReplicaId> configured) {
    loadEstimator.retain(configured);
  }

  /** Partitions a snapshot by zone once; requests that see the same snapshot share the result. */
  @SuppressWarnings(
      "ReferenceEquality") // comparing 600 views by value would cost as much as this saves
  private ZonePartition partition(ImmutableList<ReplicaView> replicas) {
    ZonePartition known = lastPartition.get();
    if (known.source() == replicas) {
      return known;
    }
    ZonePartition partition = ZonePartition.of(replicas, ownZone);
    lastPartition.set(partition);
    return partition;
  }

  private RoutingDecision.Forward chooseAmong(
      GenerationRequest request,
      List<ReplicaView> sameZone,
      List<ReplicaView> otherZones,
      RandomGenerator random,
      long nowNanos) {
    if (sameZone.isEmpty()) {
      return spill(leastLoaded(request, otherZones, random, nowNanos));
    }
    ReplicaView best = leastLoaded(request, sameZone, random, nowNanos);
    if (!otherZones.isEmpty() && shouldLeaveZone(request, best, nowNanos)) {
      ReplicaView other = leastLoaded(request, otherZones, random, nowNanos);
      if (cost(other, request, nowNanos) < cost(best, request, nowNanos) / 2) {
        return spill(other);
      }
    }
    if (request.prefix().isPresent()) {
      ReplicaView cached = highestRendezvousScore(request.prefix(), sameZone);
      double extra = cost(cached, request, nowNanos) - cost(best, request, nowNanos);
      if (extra <= prefillSeconds(best, request)) {
        return new RoutingDecision.Forward(cached, RoutingDecision.Cause.PREFIX_AFFINITY);
      }
    }
    return new RoutingDecision.Forward(best, RoutingDecision.Cause.LOWER_LOAD);
  }

  private boolean shouldLeaveZone(GenerationRequest request, ReplicaView best, long nowNanos) {
    return LengthClass.of(request.promptTokens()).isLong()
        || loadEstimator.waitSeconds(best, request, nowNanos) > prefillSeconds(best, request);
  }

  private ReplicaView leastLoaded(
      GenerationRequest request,
      List<ReplicaView> candidates,
      RandomGenerator random,
      long nowNanos) {
    if (LengthClass.of(request.promptTokens()) != LengthClass.SHORT) {
      return leastLoadedOfSample(request, candidates, random, nowNanos);
    }
    int size = candidates.size();
    int firstIndex = random.nextInt(size);
    int step = size == 1 ? 0 : 1 + random.nextInt(size - 1);
    ReplicaView first = candidates.get(firstIndex);
    ReplicaView second = candidates.get((firstIndex + step) % size);
    return cost(first, request, nowNanos) <= cost(second, request, nowNanos) ? first : second;
  }

  private ReplicaView leastLoadedOfSample(
      GenerationRequest request,
      List<ReplicaView> candidates,
      RandomGenerator random,
      long nowNanos) {
    int offset = random.nextInt(candidates.size());
    ReplicaView best = candidates.get(offset);
    double bestCost = cost(best, request, nowNanos);
    int examined = Math.min(candidates.size(), MAXIMUM_EXAMINED_REPLICAS);
    for (int step = 1; step < examined; step++) {
      ReplicaView candidate = candidates.get((offset + step) % candidates.size());
      double cost = cost(candidate, request, nowNanos);
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Returns the wait for prompts of the same and shorter classes plus the weighted delay that the
   * request causes to longer ones, in seconds.
   */
  private double cost(ReplicaView view, GenerationRequest request, long nowNanos) {
    double busy = loadEstimator.busySeconds(view, nowNanos);
    return loadEstimator.waitSeconds(view, request, nowNanos)
        + longPromptWeight * Math.min(busy, prefillSeconds(view, request));
  }

  private static double prefillSeconds(ReplicaView view, GenerationRequest request) {
    double rate = view.load().prefillTokensPerSecond();
    return rate <= 0 ? 0 : request.promptTokens() / rate;
  }

  private static ReplicaView highestRendezvousScore(
      PrefixFingerprint prefix, List<ReplicaView> candidates) {
    ReplicaView best = candidates.get(0);
    long bestScore = rendezvousScore(prefix, best);
    for (ReplicaView candidate : candidates) {
      long score = rendezvousScore(prefix, candidate);
      if (score > bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  private static long rendezvousScore(PrefixFingerprint prefix, ReplicaView view) {
    return mix(prefix.hash() ^ mix(view.replica().value().hashCode()));
  }

  /** The finalizer of SplitMix64, which spreads every bit over the whole value. */
  private static long mix(long value) {
    long spread = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    spread = (spread ^ (spread >>> 27)) * 0x94d049bb133111ebL;
    return spread ^ (spread >>> 31);
  }

  private static RoutingDecision.Forward spill(ReplicaView target) {
    return new RoutingDecision.Forward(target, RoutingDecision.Cause.SPILL);
  }
}
