package dev.apricotmill.coordination.membership;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class MembershipTest {

  private static final Duration SETTLE_TIME = Duration.ofSeconds(20);
  private static final Duration DETECTION_TIME = Duration.ofSeconds(6);

  @Test
  void daemonsOfAllZonesFindEachOther() {
    MembershipCluster cluster = new MembershipCluster(3, 4);
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.allAgree()).isTrue();
  }

  @Test
  void aKilledDaemonIsDeclaredDeadEverywhereInItsZone() {
    MembershipCluster cluster = new MembershipCluster(1, 7);
    cluster.advance(SETTLE_TIME);
    cluster.daemon(0).kill();
    cluster.advance(DETECTION_TIME);
    for (ClusterDaemon daemon : cluster.daemons().subList(1, 7)) {
      assertThat(daemon.stateOf(cluster.daemon(0))).isEqualTo(MemberState.DEAD);
    }
  }

  @Test
  void aResumedDaemonTakesAHigherIncarnationBeforeItDispatches() {
    MembershipCluster cluster = new MembershipCluster(1, 5);
    cluster.advance(SETTLE_TIME);
    ClusterDaemon paused = cluster.daemon(2);
    paused.scheduler().pause();
    cluster.advance(DETECTION_TIME);
    assertThat(cluster.daemon(0).stateOf(paused)).isEqualTo(MemberState.DEAD);
    paused.scheduler().resume();
    assertThat(paused.membership().noticePause()).isTrue();
    assertThat(paused.replacements()).hasSize(1);
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.allAgree()).isTrue();
    assertThat(paused.membership().self().incarnation().number()).isGreaterThan(1L);
  }

  @Test
  void onlyThePartitionedDaemonTakesAHigherIncarnationWhenThePartitionHeals() {
    MembershipCluster cluster = new MembershipCluster(1, 6);
    cluster.advance(SETTLE_TIME);
    cluster.network().partitionProcess("d0-3");
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.daemon(0).stateOf(cluster.daemon(3))).isEqualTo(MemberState.DEAD);
    cluster.network().heal();
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.allAgree()).isTrue();
    assertThat(cluster.daemon(3).replacements()).isNotEmpty();
    assertThat(
            cluster.daemons().stream().filter(daemon -> !daemon.replacements().isEmpty()).count())
        .isEqualTo(1);
  }

  @Test
  void twoDaemonsFindEachOtherAgainAfterAPartition() {
    MembershipCluster cluster = new MembershipCluster(1, 2);
    cluster.advance(SETTLE_TIME);
    cluster.network().partitionProcess("d0-0");
    cluster.advance(SETTLE_TIME);
    cluster.network().heal();
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.allAgree()).isTrue();
  }

  @Test
  void aPartitionedZoneIsNotDeclaredDead() {
    MembershipCluster cluster = new MembershipCluster(3, 3);
    cluster.advance(SETTLE_TIME);
    cluster.network().partitionZone(new Zone("z1"));
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.daemon(0).stateOf(cluster.daemon(4))).isNotEqualTo(MemberState.DEAD);
    assertThat(cluster.daemon(3).stateOf(cluster.daemon(4))).isEqualTo(MemberState.ALIVE);
    cluster.network().heal();
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.allAgree()).isTrue();
    assertThat(cluster.daemons().stream().allMatch(daemon -> daemon.replacements().isEmpty()))
        .isTrue();
  }

  @Test
  void aPeerThatAnswersOnlyIndirectProbesIsNotDeclaredDead() {
    MembershipCluster cluster = new MembershipCluster(1, 4);
    cluster.advance(SETTLE_TIME);
    cluster
        .network()
        .dropMatching(
            request ->
                ImmutableList.of("d0-0", "d0-1").contains(request.from())
                    && ImmutableList.of("d0-0", "d0-1").contains(request.to()));
    cluster.advance(SETTLE_TIME);
    assertThat(cluster.daemon(2).stateOf(cluster.daemon(1))).isEqualTo(MemberState.ALIVE);
    assertThat(cluster.daemon(1).replacements()).isEmpty();
  }

  @Test
  void aLeavingDaemonOwnsNothingButIsReachable() {
    MembershipCluster cluster = new MembershipCluster(1, 4);
    cluster.advance(SETTLE_TIME);
    cluster.daemon(1).membership().leave();
    cluster.advance(DETECTION_TIME);
    MembershipView view = cluster.daemon(3).membership().view();
    assertThat(view.owners(new Zone("z0"))).hasSize(3);
    assertThat(view.reachable()).hasSize(4);
  }

  @Test
  void aMachineListThatMarksAWholeZoneAsLeavingIsIgnored() {
    MembershipCluster cluster = new MembershipCluster(1, 3);
    cluster.advance(SETTLE_TIME);
    Membership membership = cluster.daemon(0).membership();
    ImmutableList<Machine> allLeaving =
        cluster.daemons().stream()
            .map(daemon -> daemon.machine(Machine.State.LEAVING))
            .collect(ImmutableList.toImmutableList());
    membership.updateMachines(allLeaving);
    assertThat(membership.view().owners(new Zone("z0"))).hasSize(3);
    membership.updateMachines(ImmutableList.of(allLeaving.get(1)));
    assertThat(membership.view().owners(new Zone("z0"))).hasSize(2);
  }

  @Test
  void aPayloadAndAGenerationReachEveryZone() {
    MembershipCluster cluster = new MembershipCluster(3, 5);
    cluster.advance(SETTLE_TIME);
    cluster.daemon(0).setGeneration(9);
    cluster
        .daemon(0)
        .membership()
        .publish(new ProbePayload("zone/z0", 1, "free=3".getBytes(UTF_8)));
    cluster.advance(Duration.ofSeconds(14));
    for (ClusterDaemon daemon : cluster.daemons()) {
      assertThat(daemon.membership().payloads("zone/")).hasSize(1);
    }
  }

  @Test
  void theProbesOfEachDaemonAreBoundedFromTwoToSixtyDaemons() {
    for (int size : new int[] {2, 8, 60}) {
      MembershipCluster cluster = new MembershipCluster(1, size);
      cluster.advance(Duration.ofSeconds(60));
      long before = cluster.network().requestCountOf("d0-0");
      cluster.advance(Duration.ofSeconds(60));
      long perMinute = cluster.network().requestCountOf("d0-0") - before;
      assertThat(perMinute).isAtMost(180L);
      assertThat(cluster.allAgree()).isTrue();
    }
  }
}
