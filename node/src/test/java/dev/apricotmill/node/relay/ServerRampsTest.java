package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ColdStart;
import dev.apricotmill.core.relay.ColdTolerance;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which servers a placer grants while they are cold, start, or recover from failures. */
final class ServerRampsTest {

  private static final ColdStart COLD_START = new ColdStart(Duration.ofSeconds(3), 4);
  private static final ColdTolerance TOLERANCE = new ColdTolerance(1.5, 5);
  private static final ReplicaId FIRST = new ReplicaId("pool0");
  private static final Member SELF =
      new Member(
          new Incarnation(new DaemonId("n"), 1),
          new Zone("a"),
          new PeerAddress("10.0.1.1", 1000),
          MemberState.ALIVE);

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final List<String> log = new ArrayList<>();
  private final BackendLimits limits =
      new BackendLimits(timing, (event, fields) -> log.add(event + " " + fields.get("cause")));
  private final ServerRamps ramps = limits.ramps();
  private final LocalPlacer placer = new LocalPlacer(timing, limits);
  private int requests;

  private void start(int serverCount, Optional<ColdStart> coldStart) {
    time.advance(Duration.ofMinutes(1));
    list(ScriptedServers.ofServices(serverCount, RelayFixture.POOL), coldStart);
  }

  private void list(ImmutableMap<ReplicaId, BackendServer> servers, Optional<ColdStart> coldStart) {
    placer.update(
        ServingView.EMPTY
            .withConfiguration(ColdConfiguration.of(coldStart), Optional.empty())
            .withServers(servers));
  }

  private BackendServer first() {
    return placer.server(FIRST).orElseThrow();
  }

  private void turnCold(int serverCount) {
    for (int i = 0; i < serverCount; i++) {
      ramps.onEntry(new ReplicaId("pool" + i), 1, 1, COLD_START.duration());
    }
  }

  private Placement place(long promptTokens) {
    List<Placement> placements = new ArrayList<>();
    placer.place(
        new PlacementRequest(
            new RequestId("r" + requests++),
            RelayFixture.POOL,
            new GenerationSize(promptTokens, 100),
            PromptParts.NONE,
            Duration.ofMillis(259),
            Duration.ofMillis(250),
            Duration.ofSeconds(5),
            ImmutableSet.of()),
        placements::add);
    return placements.get(0);
  }

  /** Guards against a change of deployments that state nothing of cold servers. */
  @Test
  void withoutColdServersInTheSettingsOrTheServiceThereIsNoRamp() {
    start(1, Optional.empty());
    placer.failed(RelayFixture.POOL, FIRST, false);
    list(ScriptedServers.ofServices(2, RelayFixture.POOL), Optional.empty());
    turnCold(2);

    assertThat(limits.isEmpty()).isTrue();
    assertThat(place(1_000)).isInstanceOf(Placement.Granted.class);
    assertThat(ramps.tryTakeSend(first())).isTrue();
    assertThat(log).isEmpty();
  }

  /** Guards against a failed engine that is flooded, or that is never tried again. */
  @Test
  void anEngineThatFailedIsTriedWithSingleRequests() {
    ramps.setTolerance(Optional.of(TOLERANCE));
    start(1, Optional.empty());
    placer.failed(RelayFixture.POOL, FIRST, false);

    assertThat(place(1_000)).isEqualTo(new Placement.Full(Duration.ofMillis(250)));
    time.advance(Duration.ofMillis(250));
    assertThat(place(1_000)).isInstanceOf(Placement.Granted.class);
    assertThat(place(1_000)).isInstanceOf(Placement.Full.class);

    placer.firstEvent(RelayFixture.POOL, new RequestId("r1"));
    assertThat(place(1_000)).isInstanceOf(Placement.Granted.class);
    assertThat(log).containsExactly("ramp.began FAILED");
  }

  @Test
  void anEngineThatStartsDuringTrafficHasARampUntilItAnswersOnTime() {
    ramps.setTolerance(Optional.of(TOLERANCE));
    start(1, Optional.empty());
    assertThat(ramps.isEmpty()).isTrue();
    list(ScriptedServers.ofServices(2, RelayFixture.POOL), Optional.empty());
    assertThat(log).containsExactly("ramp.began STARTED");
    assertThat(ramps.rampCount()).isEqualTo(1);

    time.advance(Duration.ofSeconds(11));
    assertThat(ramps.rampCount()).isEqualTo(0);
    assertThat(log).containsExactly("ramp.began STARTED", "ramp.ended null").inOrder();
  }

  @Test
  void aColdEngineIsGrantedItsRateAndItsNodeSendsItsShare() {
    ramps.setTolerance(Optional.of(TOLERANCE));
    start(1, Optional.of(COLD_START));
    ramps.updateMembers(ImmutableList.of(SELF), SELF);
    turnCold(1);
    list(ScriptedServers.ofServices(1, RelayFixture.POOL), Optional.of(COLD_START));
    assertThat(ramps.coldCount()).isEqualTo(1);

    int granted = 0;
    int sent = 0;
    for (int at = 0; at < 1_000; at += 10) {
      if (place(1_000) instanceof Placement.Granted) {
        granted++;
        placer.firstEvent(RelayFixture.POOL, new RequestId("r" + (requests - 1)));
      }
      sent += ramps.tryTakeSend(first()) ? 1 : 0;
      time.advance(Duration.ofMillis(10));
    }
    assertThat(granted).isAtLeast(4);
    assertThat(granted).isAtMost(6);
    assertWithMessage("two fifths of the bound").that(sent).isEqualTo(4);
    assertThat(log).containsExactly("ramp.began COLD");
  }

  /** Guards against a node that sends before it knows among how many the bound is divided. */
  @Test
  void aNodeThatKnowsNoNodesSendsNothingToAColdServer() {
    ramps.setTolerance(Optional.of(TOLERANCE));
    start(1, Optional.of(COLD_START));
    turnCold(1);
    assertThat(ramps.tryTakeSend(first())).isFalse();
    assertThat(ramps.timeUntilAnyAcceptsSend(ImmutableList.of(first())))
        .isEqualTo(Optional.of(Duration.ofSeconds(3)));

    time.advance(Duration.ofSeconds(3));
    assertThat(ramps.tryTakeSend(first())).isTrue();
  }

  /** Guards against a part of a prompt that is one more request, and late, at a cold engine. */
  @Test
  void aColdEngineHelpsWithNoPrompt() {
    ramps.setTolerance(Optional.of(TOLERANCE));
    start(6, Optional.of(COLD_START));
    Placement.Granted warm = (Placement.Granted) place(500_000);
    assertThat(warm.helpers()).isNotEmpty();
    placer.ended(RelayFixture.POOL, new RequestId("r0"), false);

    turnCold(3);
    list(ScriptedServers.ofServices(6, RelayFixture.POOL), Optional.of(COLD_START));
    Placement.Granted granted = (Placement.Granted) place(500_000);
    assertThat(granted.helpers()).isNotEmpty();
    assertThat(granted.helpers())
        .containsNoneOf(FIRST, new ReplicaId("pool1"), new ReplicaId("pool2"));
    placer.ended(RelayFixture.POOL, new RequestId("r1"), false);

    turnCold(6);
    list(ScriptedServers.ofServices(6, RelayFixture.POOL), Optional.of(COLD_START));
    assertThat(place(500_000)).isInstanceOf(Placement.Full.class);
    Placement.Granted unsplit = (Placement.Granted) place(300_000);
    assertThat(unsplit.helpers()).isEmpty();
  }

  /** Guards against a server that all nodes flood until its entry says that it is cold. */
  @Test
  void aServerThatAcceptsRequestsAgainIsPresumedCold() {
    ramps.setTolerance(Optional.of(TOLERANCE));
    start(1, Optional.of(COLD_START));
    BackendServer server = first();
    assertThat(ramps.isCold(server)).isFalse();
    list(ImmutableMap.of(FIRST, server.asLeaving()), Optional.of(COLD_START));
    list(ImmutableMap.of(FIRST, server), Optional.of(COLD_START));

    assertThat(ramps.isCold(server)).isTrue();
    time.advance(COLD_START.duration());
    assertThat(ramps.isCold(server)).isFalse();
  }
}
