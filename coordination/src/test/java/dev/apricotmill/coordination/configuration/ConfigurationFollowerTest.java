package dev.apricotmill.coordination.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Ordering;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.testing.FakePeerNetwork;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class ConfigurationFollowerTest {

  private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(14);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final FakePeerNetwork network = new FakePeerNetwork(time);
  private final ConfigurationStore store = newStore();
  private final List<FollowerDaemon> daemons = new ArrayList<>();

  @Test
  void anAcceptedConfigurationBecomesCurrentOnEveryDaemonInTime() {
    startDaemons(3, 7);
    accept(1);
    time.advance(MAX_PROPAGATION_TIME);
    assertAllAt(1);
  }

  @Test
  void daemonsPartitionedFromThePlatformFetchFromTheirPeers() {
    startDaemons(3, 4);
    platform.failZone(new Zone("z1"), PlatformFault.UNREACHABLE);
    platform.failProcess("z0-1", PlatformFault.UNREACHABLE);
    accept(1);
    time.advance(MAX_PROPAGATION_TIME);
    assertAllAt(1);
  }

  @Test
  void onlyChangedPartsAreTransferred() {
    startDaemons(1, 4);
    accept(1);
    time.advance(MAX_PROPAGATION_TIME);
    long readsBefore = partReadCount();
    accept(2);
    time.advance(MAX_PROPAGATION_TIME);
    assertAllAt(2);
    assertThat(partReadCount() - readsBefore).isAtMost(2);
  }

  @Test
  void platformCallsDoNotGrowWithTheNumberOfDaemons() {
    startDaemons(1, 30);
    accept(1);
    time.advance(Duration.ofSeconds(60));
    long start = time.nanoTime();
    time.advance(Duration.ofSeconds(60));
    long calls = platform.log().countSince(start, call -> call.path().startsWith("config/"));
    assertThat(calls).isAtMost(90);
  }

  @Test
  void aDaemonNeverAdoptsALowerGeneration() {
    startDaemons(3, 2);
    accept(1);
    time.advance(MAX_PROPAGATION_TIME);
    network.partitionZone(new Zone("z2"));
    platform.failZone(new Zone("z2"), PlatformFault.UNREACHABLE);
    accept(2);
    accept(3);
    time.advance(MAX_PROPAGATION_TIME);
    network.heal();
    platform.heal();
    time.advance(MAX_PROPAGATION_TIME);
    assertAllAt(3);
    for (FollowerDaemon daemon : daemons) {
      assertThat(Ordering.natural().isStrictlyOrdered(daemon.generations())).isTrue();
    }
  }

  @Test
  void aNewDaemonIsNotReadyBeforeThePlatformResponds() {
    accept(1);
    FollowerDaemon daemon = newDaemon("z0-0");
    daemon.start(machines());
    assertThat(daemon.follower().isReady()).isFalse();
    time.advance(Duration.ofSeconds(1));
    assertThat(daemon.follower().isReady()).isTrue();
    assertThat(daemon.generation()).isEqualTo(1);
  }

  @Test
  void aNewDaemonAdoptsTheHighestGenerationOfItsPeersWhileThePlatformIsDown() {
    startDaemons(1, 3);
    accept(1);
    time.advance(MAX_PROPAGATION_TIME);
    platform.fail(PlatformFault.UNREACHABLE);
    FollowerDaemon daemon = newDaemon("z0-9");
    daemon.start(machines());
    time.advance(Duration.ofMillis(100));
    assertThat(daemon.follower().isReady()).isFalse();
    time.advance(Duration.ofSeconds(20));
    assertThat(daemon.follower().isReady()).isTrue();
    assertThat(daemon.generation()).isEqualTo(1);
  }

  @Test
  void aNewDaemonWithoutPlatformAndPeersIsNotReadyUntilThePlatformRecovers() {
    accept(1);
    platform.fail(PlatformFault.UNREACHABLE);
    FollowerDaemon daemon = newDaemon("z0-0");
    daemon.start(machines());
    time.advance(Duration.ofMinutes(5));
    assertThat(daemon.follower().isReady()).isFalse();
    platform.heal();
    time.advance(Duration.ofSeconds(10));
    assertThat(daemon.follower().isReady()).isTrue();
  }

  @Test
  void manyNewDaemonsSpreadTheirCallsOverTimeWhenThePlatformRecovers() {
    accept(1);
    platform.fail(PlatformFault.UNREACHABLE);
    startDaemons(1, 40);
    time.advance(Duration.ofMinutes(1));
    platform.heal();
    long healed = time.nanoTime();
    time.advance(Duration.ofSeconds(10));
    assertAllAt(1);
    assertThat(platform.log().countSince(healed, call -> true)).isAtMost(250);
    assertThat(platform.log().peakReadsPerSecond()).isAtMost(150);
  }

  @Test
  void aDamagedPartFromAPeerIsFetchedFromThePlatform() {
    accept(1);
    FollowerDaemon holder = newDaemon("z0-0");
    holder.start(machines());
    time.advance(Duration.ofSeconds(1));
    ConfigurationFollower follower = newFollowerOf(holder, new ArrayList<>());
    long readsBefore = partReadCount();
    follower.onPeerGeneration(new PeerAddress("127.0.0.1", 1), 1);
    time.advance(Duration.ofSeconds(1));
    assertThat(follower.generation()).isEqualTo(1);
    assertThat(partReadCount() - readsBefore).isEqualTo(2);
  }

  @Test
  void aSlowFetchOfALowerGenerationDoesNotReplaceAHigherOne() {
    accept(1);
    FollowerDaemon holder = newDaemon("z0-0");
    holder.start(machines());
    time.advance(Duration.ofSeconds(1));
    List<Long> generations = new ArrayList<>();
    ConfigurationFollower follower = newFollowerOf(holder, generations);
    platform.setSlowDelay(Duration.ofMillis(900));
    platform.failNext(1, PlatformFault.SLOW, call -> call.process().equals("z0-1"));
    follower.onPeerGeneration(new PeerAddress("127.0.0.1", 1), 1);
    accept(2);
    time.advance(Duration.ofMillis(200));
    follower.onPeerGeneration(new PeerAddress("127.0.0.1", 1), 2);
    time.advance(Duration.ofSeconds(3));
    assertThat(generations).containsExactly(2L);
    assertThat(follower.generation()).isEqualTo(2);
  }

  /**
   * Returns a follower that fetches heads from {@code holder}. Its peer truncates all parts, so it
   * fetches parts from the platform.
   */
  private ConfigurationFollower newFollowerOf(FollowerDaemon holder, List<Long> generations) {
    VirtualScheduler scheduler = time.newScheduler();
    return new ConfigurationFollower(
        time.timingOf(scheduler),
        platform.clientFor("z0-1", new Zone("z0"), scheduler),
        new TruncatingPeerProbes(holder.follower()),
        FollowerSettings.defaults(),
        new SplittableRandom(5),
        holder::self,
        holder::view,
        bundle -> generations.add(bundle.generation()));
  }

  private void startDaemons(int zones, int daemonsPerZone) {
    for (int zone = 0; zone < zones; zone++) {
      for (int i = 0; i < daemonsPerZone; i++) {
        newDaemon("z" + zone + "-" + i);
      }
    }
    daemons.forEach(daemon -> daemon.start(machines()));
    time.advance(Duration.ofSeconds(20));
  }

  private FollowerDaemon newDaemon(String name) {
    FollowerDaemon daemon = new FollowerDaemon(time, platform, network, name, daemons.size() + 1);
    daemons.add(daemon);
    return daemon;
  }

  private ImmutableList<Machine> machines() {
    return daemons.stream().map(FollowerDaemon::machine).collect(ImmutableList.toImmutableList());
  }

  private void assertAllAt(long generation) {
    for (FollowerDaemon daemon : daemons) {
      assertThat(daemon.generation()).isEqualTo(generation);
    }
  }

  private long partReadCount() {
    return platform
        .log()
        .count(
            call ->
                call.operation() == PlatformOperation.GET
                    && call.path().startsWith("config/parts/"));
  }

  private void accept(long generation) {
    ImmutableMap<String, PartContent> parts =
        ImmutableMap.of(
            "stays", PartContent.copyOf("same".getBytes(UTF_8)),
            "changes", PartContent.copyOf(("v" + generation).getBytes(UTF_8)));
    CompletionStage<ChangeResult> result =
        store.propose(new ConfigurationChange(generation - 1, parts, "ana", "c" + generation));
    time.advance(Duration.ofMillis(100));
    assertThat(result.toCompletableFuture().join()).isInstanceOf(ChangeResult.Accepted.class);
  }

  private ConfigurationStore newStore() {
    VirtualScheduler scheduler = time.newScheduler();
    return new ConfigurationStore(
        time.timingOf(scheduler),
        platform.clientFor("operator", new Zone("office"), scheduler),
        WriterSettings.defaults(),
        new SplittableRandom(3));
  }
}
