package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.steward.ShortPromptHeadroom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the replicas that prefill a prompt together when it is too large for one.
 *
 * <p>Every member keeps its headroom for short prompts, so that no group leaves the pool without
 * memory for them.
 */
public final class GroupPlanner {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final EngineProfile profile;
  private final double longPromptShare;
  private final long usableTokens;

  /** Creates a planner for a pool of engines of the given profile. */
  public GroupPlanner(EngineProfile profile, Objective objective) {
    this.profile = profile;
    this.longPromptShare = objective.longPromptShare();
    this.usableTokens = profile.memoryTokens() - ShortPromptHeadroom.tokens(profile, objective);
  }

  /** Returns whether a request needs more than one engine. */
  public boolean needsGroup(GenerationRequest request) {
    return request.memoryTokens() > usableTokens;
  }

  /**
   * Chooses the members, all in one zone if a zone has enough of them. Refuses a request that
   * cannot complete before its deadline.
   *
   * @param request the request
   * @param replicas the replicas of its service
   * @param tried replicas that failed this request before
   * @param waitSeconds the predicted wait at a replica in seconds
   * @param nowNanos the monotonic time
   */
  public GroupDecision plan(
      GenerationRequest request,
      ImmutableList<ReplicaView> replicas,
      Set<ReplicaId> tried,
      ToDoubleFunction<ReplicaView> waitSeconds,
      long nowNanos) {
    int size = membersNeeded(request);
    if (size > replicas.size()) {
      return new GroupDecision.Refuse(RefusalReason.NEVER_FITS, Duration.ZERO);
    }
    List<CostedReplica> usable = new ArrayList<>();
    for (ReplicaView view : replicas) {
      if (view.usable() && !tried.contains(view.replica())) {
        usable.add(new CostedReplica(view, waitSeconds.applyAsDouble(view)));
      }
    }
    if (size > usable.size()) {
      return new GroupDecision.Refuse(RefusalReason.NO_REPLICA, RETRY_AFTER);
    }
    List<CostedReplica> chosen = cheapest(usable, size);
    double lateSeconds = secondsLate(request, chosen, nowNanos);
    if (lateSeconds > 0) {
      Duration retryAfter = Duration.ofNanos((long) (lateSeconds * TimeUnit.SECONDS.toNanos(1)));
      return new GroupDecision.Refuse(RefusalReason.DEADLINE_UNREACHABLE, retryAfter);
    }
    return members(request, chosen);
  }

  private int membersNeeded(GenerationRequest request) {
    long outputTokens = request.maximumOutputTokens();
    long usableForPrompt = Math.max(1, usableTokens - outputTokens);
    return (int)
        Math.min(Integer.MAX_VALUE, ceilingDivide(request.promptTokens(), usableForPrompt));
  }

  /**
   * Returns by how much the response would miss its deadline, in seconds; negative if it is on
   * time. In the worst case the members are reserved one after another, so their waits add up.
   */
  private double secondsLate(GenerationRequest request, List<CostedReplica> chosen, long nowNanos) {
    double waitSeconds = chosen.stream().mapToDouble(CostedReplica::cost).sum();
    double partTokens = (double) request.promptTokens() / chosen.size();
    double prefillSeconds = partTokens / (profile.prefillTokensPerSecond() * longPromptShare);
    double decodeSeconds = request.maximumOutputTokens() / profile.decodeTokensPerSecond();
    double remainingNanos = (double) request.deadline().remaining(nowNanos).toNanos();
    return waitSeconds
        + prefillSeconds
        + decodeSeconds
        - remainingNanos / TimeUnit.SECONDS.toNanos(1);
  }

  private static List<CostedReplica> cheapest(List<CostedReplica> usable, int size) {
    usable.sort(Comparator.comparingDouble(CostedReplica::cost));
    Map<String, List<CostedReplica>> byZone = new TreeMap<>();
    List<CostedReplica> best = usable.subList(0, size);
    boolean bestIsInOneZone = false;
    for (CostedReplica replica : usable) {
      String zone = replica.view.zone().name();
      List<CostedReplica> zoneMembers = byZone.computeIfAbsent(zone, unused -> new ArrayList<>());
      zoneMembers.add(replica);
      if (zoneMembers.size() == size && !bestIsInOneZone) {
        best = List.copyOf(zoneMembers);
        bestIsInOneZone = true;
      }
    }
    return best;
  }

  private static GroupDecision members(GenerationRequest request, List<CostedReplica> chosen) {
    long partTokens = ceilingDivide(request.promptTokens(), chosen.size());
    long remainingTokens = request.promptTokens();
    List<ReplicaView> views = new ArrayList<>(chosen.stream().map(CostedReplica::view).toList());
    views.sort(Comparator.comparing(ReplicaView::replica));
    ImmutableList.Builder<GroupDecision.Member> members = ImmutableList.builder();
    for (ReplicaView view : views) {
      long tokens = Math.min(partTokens, remainingTokens);
      members.add(new GroupDecision.Member(view, tokens));
      remainingTokens -= tokens;
    }
    return new GroupDecision.Members(members.build());
  }

  private static long ceilingDivide(long value, long divisor) {
    return (value + divisor - 1) / divisor;
  }

  private record CostedReplica(ReplicaView view, double cost) {}
}
