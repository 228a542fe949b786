package dev.apricotmill.core.group;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.core.steward.Requests;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class GroupPlannerTest {

  private static final EngineProfile PROFILE = new EngineProfile(450_000, 30_000, 40, 256);

  private final GroupPlanner planner = new GroupPlanner(PROFILE, Objective.SHORT_REQUEST_SLOWDOWN);

  @Test
  void onlyPromptsLargerThanOneEngineNeedAGroup() {
    assertThat(planner.needsGroup(Requests.request("r", 300_000))).isFalse();
    assertThat(planner.needsGroup(Requests.request("r", 450_000))).isTrue();
  }

  @Test
  void aMillionTokensAreSplitAcrossThreeReplicasOfOneZone() {
    GroupDecision.Members members =
        (GroupDecision.Members)
            planner.plan(
                Requests.request("r", 1_000_000),
                ImmutableList.of(
                    view("z1", "a", true),
                    view("z2", "b", true),
                    view("y1", "a", true),
                    view("x1", "a", true)),
                ImmutableSet.of(),
                view -> view.zone().name().equals("b") ? 0 : 1,
                0);
    assertThat(members.members().stream().map(member -> member.replica().replica().value()))
        .containsExactly("x1", "y1", "z1")
        .inOrder();
    assertThat(members.members().stream().mapToLong(GroupDecision.Member::promptTokens).sum())
        .isEqualTo(1_000_000);
  }

  @Test
  void aPromptThatThePoolCanNeverHoldIsRefusedAtOnce() {
    assertThat(
            planner.plan(
                Requests.request("r", 1_000_000),
                ImmutableList.of(view("x", "a", true), view("y", "a", true)),
                ImmutableSet.of(),
                view -> 0,
                0))
        .isEqualTo(new GroupDecision.Refuse(RefusalReason.NEVER_FITS, Duration.ZERO));
  }

  @Test
  void aGroupThatLacksOnlyALeavingReplicaIsRefusedWithARetryDelay() {
    GroupDecision.Refuse refuse =
        (GroupDecision.Refuse)
            planner.plan(
                Requests.request("r", 800_000),
                ImmutableList.of(view("x", "a", true), view("y", "a", true), view("z", "a", false)),
                ImmutableSet.of(),
                view -> 0,
                0);
    assertThat(refuse.reason()).isEqualTo(RefusalReason.NO_REPLICA);
    assertThat(refuse.retryAfter()).isGreaterThan(Duration.ZERO);
  }

  @Test
  void aGroupThatCannotMeetItsDeadlineIsRefusedAtOnceWithARetryDelay() {
    GroupDecision.Refuse refuse =
        (GroupDecision.Refuse)
            planner.plan(
                Requests.request("r", 800_000),
                ImmutableList.of(view("x", "a", true), view("y", "a", true), view("z", "a", true)),
                ImmutableSet.of(),
                view -> 600,
                0);
    assertThat(refuse.reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
    assertThat(refuse.retryAfter()).isGreaterThan(Duration.ofMinutes(10));
  }

  private static ReplicaView view(String replica, String zone, boolean usable) {
    return new ReplicaView(
        new ReplicaId(replica), new Zone(zone), new DaemonId("d"), ReplicaLoad.UNKNOWN, 0, usable);
  }
}
