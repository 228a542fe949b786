package dev.apricotmill.benchmarks.policy;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.benchmarks.fleet.EngineSequence;
import dev.apricotmill.benchmarks.measure.Ending;
import dev.apricotmill.core.group.GroupAction;
import dev.apricotmill.core.group.GroupDecision;
import dev.apricotmill.core.group.GroupReservation;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** One prompt that several engines read, from the reservation of its parts to its end. */
final class GroupJourney {

  private final FleetPolicy policy;
  private final Journey journey;
  private final GenerationRequest request;
  private final Map<ReplicaId, Long> parts = new HashMap<>();
  private final GroupReservation reservation;
  private int firstTokens;
  private int finished;
  private boolean over;

  GroupJourney(
      FleetPolicy policy,
      Journey journey,
      GenerationRequest request,
      ImmutableList<GroupDecision.Member> members) {
    this.policy = policy;
    this.journey = journey;
    this.request = request;
    for (GroupDecision.Member member : members) {
      parts.put(member.replica().replica(), member.promptTokens());
    }
    this.reservation = new GroupReservation(parts.keySet(), request.deadline().atNanos());
  }

  void start() {
    act(reservation.start());
  }

  void cancel() {
    over = true;
    parts.keySet().forEach(replica -> steward(replica).cancel(request.id()));
  }

  private void act(GroupAction action) {
    if (action instanceof GroupAction.Reserve reserve) {
      long tokens = parts.getOrDefault(reserve.replica(), 0L);
      later(
          reserve.replica(),
          () ->
              steward(reserve.replica())
                  .acceptMember(
                      request.withPromptTokens(tokens), new Member(reserve.replica(), tokens)));
    } else if (action instanceof GroupAction.Commit commit) {
      commit
          .replicas()
          .forEach(replica -> later(replica, () -> steward(replica).commit(request.id())));
    } else if (action instanceof GroupAction.Abort abort) {
      ReplicaId last = abort.replicas().get(abort.replicas().size() - 1);
      cancel();
      Outcome refused = new Outcome.Refused(abort.reason(), abort.retryAfter());
      journey.retryOr(Ending.REFUSED, refused, last);
    }
  }

  private void later(ReplicaId replica, Runnable action) {
    policy
        .loop()
        .after(
            policy.hopNanos(journey.daemon(), policy.number(replica)),
            () -> {
              if (!over) {
                action.run();
              }
            });
  }

  private StewardModel steward(ReplicaId replica) {
    return policy.steward(policy.number(replica));
  }

  /** What the steward of one member tells the coordinator, one hop later. */
  private final class Member implements StewardClient {
    private final ReplicaId replica;
    private final long tokens;

    Member(ReplicaId replica, long tokens) {
      this.replica = replica;
      this.tokens = tokens;
    }

    @Override
    public int daemon() {
      return journey.daemon();
    }

    @Override
    public EngineSequence sequence(String id, int priority, EngineSequence.Listener listener) {
      double part = (double) tokens / request.promptTokens();
      long trueTokens = Math.max(1, (long) (journey.arrival().promptTokens() * part));
      return new EngineSequence(
          id,
          trueTokens,
          trueTokens + request.maximumOutputTokens(),
          journey.arrival().outputTokens(),
          priority,
          null,
          listener);
    }

    @Override
    public void onAdmitted() {}

    @Override
    public void onHeld() {
      back(
          () -> {
            GroupAction action = reservation.onHeld(replica, policy.loop().nowNanos());
            act(action);
          });
    }

    @Override
    public void onRefused(RefusalReason reason, Duration retryAfter) {
      back(
          () -> {
            if (reservation.isCommitted()) {
              onBroken();
            } else {
              act(reservation.onRefused(replica, reason, retryAfter));
            }
          });
    }

    @Override
    public void onFirstToken(long promptTokens) {
      back(
          () -> {
            firstTokens++;
            if (firstTokens == parts.size()) {
              policy.recorder().firstToken(journey.arrival(), policy.loop().nowNanos());
            }
          });
    }

    @Override
    public void onFinished() {
      back(
          () -> {
            finished++;
            if (finished == parts.size()) {
              over = true;
              policy.end(journey, Ending.ANSWERED);
            }
          });
    }

    @Override
    public void onBroken() {
      back(
          () -> {
            cancel();
            Outcome broken = new Outcome.Failed(FailureReason.STREAM_BROKEN);
            journey.retryOr(Ending.BROKEN, broken, replica);
          });
    }

    @Override
    public void onLost() {
      onBroken();
    }

    private void back(Runnable action) {
      policy.heard(journey.daemon(), policy.number(replica));
      later(replica, action);
    }
  }
}
