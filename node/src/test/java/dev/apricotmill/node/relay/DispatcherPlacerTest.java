package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

final class DispatcherPlacerTest {

  private final RelayFixture relay = new RelayFixture(1);
  private final BackendLimits limits = new BackendLimits(relay.timing(), EventLog.NONE);
  private final LocalPlacer localPlacer = new LocalPlacer(relay.timing(), limits);
  private final BlockedParts blockedParts = new BlockedParts(relay.timing(), (event, fields) -> {});
  private final LeavingServers leavingServers = new LeavingServers(relay.timing(), EventLog.NONE);
  private final ScriptedDispatchers dispatchers = new ScriptedDispatchers();
  private final List<String> events = new ArrayList<>();
  private final ImmutableList<Member> ranked = rankedMembers();
  private final DispatcherPlacer placer =
      new DispatcherPlacer(
          relay.timing(),
          localPlacer,
          dispatchers,
          ranked.get(2),
          new SharedKnowledge(blockedParts, leavingServers, limits),
          new CrashWatch(relay.timing(), localPlacer, blockedParts),
          (event, fields) -> events.add(event));
  private final List<Placement> decisions = new ArrayList<>();

  DispatcherPlacerTest() {
    localPlacer.update(relay.node().view());
    placer.updateMembers(ranked);
    dispatchers.reports.clear();
  }

  @Test
  void theDispatcherOfThePoolPlacesTheRequest() {
    placer.place(placementRequest("r1"), decisions::add);
    dispatchers.answer(Optional.of(granted("pool2")));

    assertThat(dispatchers.asked).containsExactly(ranked.get(0).address());
    assertThat(decisions).containsExactly(granted("pool2"));
  }

  /** A dispatcher on a small VM falls silent under load, and nodes then ask different ones. */
  @Test
  void theNodeOfTheLargestVmDispatchesWhateverItsRank() {
    Member largest = withCapacity(ranked.get(1), 150);
    placer.updateMembers(
        ImmutableList.of(
            withCapacity(ranked.get(0), 36), largest, withCapacity(ranked.get(2), 36)));

    placer.place(placementRequest("r1"), decisions::add);

    assertThat(dispatchers.asked).containsExactly(largest.address());
  }

  @Test
  void theNextOfEqualCapacityReplacesASilentDispatcher() {
    placer.updateMembers(
        ImmutableList.of(
            withCapacity(ranked.get(0), 36),
            withCapacity(ranked.get(1), 150),
            withCapacity(ranked.get(2), 150)));
    placer.place(placementRequest("r1"), decisions::add);
    dispatchers.answer(Optional.empty());
    dispatchers.asked.clear();

    placer.place(placementRequest("r2"), decisions::add);

    assertThat(dispatchers.asked).doesNotContain(ranked.get(0).address());
  }

  @Test
  void aNodePreconnectsOnceToABoundedNumberOfDispatchers() {
    ImmutableList.Builder<Member> many = ImmutableList.<Member>builder().addAll(ranked);
    for (int i = 0; i < 90; i++) {
      many.add(member("m" + i, i));
    }
    dispatchers.reported.clear();

    placer.updateMembers(many.build());
    int connections = dispatchers.reported.size();
    placer.preconnect();

    assertThat(connections).isAtMost(3);
    assertThat(dispatchers.reported).hasSize(connections);
  }

  @Test
  void aSilentDispatcherIsReplacedByTheNextWhichReceivesTheRunningWork() {
    placer.place(placementRequest("r1"), decisions::add);
    dispatchers.answer(Optional.of(granted("pool2")));
    placer.place(placementRequest("r2"), decisions::add);
    dispatchers.answer(Optional.empty());
    assertThat(decisions).hasSize(2);

    placer.place(placementRequest("r3"), decisions::add);

    assertThat(dispatchers.asked)
        .containsExactly(ranked.get(0).address(), ranked.get(0).address(), ranked.get(1).address());
    assertThat(dispatchers.reports)
        .contains(new WorkReport.Running(placementRequest("r1"), granted("pool2"), true));
    assertThat(events).containsAtLeast("dispatcher.silent", "dispatcher.changed");
  }

  @Test
  void concurrentTimeoutsCountAsOneSilence() {
    placer.place(placementRequest("r1"), decisions::add);
    Consumer<Optional<Placement>> first = dispatchers.pendingCallback;
    placer.place(placementRequest("r2"), decisions::add);
    Consumer<Optional<Placement>> second = dispatchers.pendingCallback;
    first.accept(Optional.empty());
    second.accept(Optional.empty());
    relay.time().runDue();

    relay.time().advance(Duration.ofMillis(501));
    placer.place(placementRequest("r3"), decisions::add);

    assertThat(dispatchers.asked.get(2)).isEqualTo(ranked.get(0).address());
  }

  /** Requests of a partitioned zone continue while the dispatcher is unreachable. */
  @Test
  void aSilentDispatcherIsCheckedByProbesAndNotByRequests() {
    dispatchers.alive = false;
    placer.place(placementRequest("r0"), decisions::add);
    dispatchers.answer(Optional.empty());
    dispatchers.asked.clear();

    for (int i = 1; i <= 60; i++) {
      placer.place(placementRequest("r" + i), decisions::add);
      dispatchers.answer(Optional.of(granted("pool2")));
      relay.time().advance(Duration.ofMillis(100));
    }

    assertThat(dispatchers.asked).doesNotContain(ranked.get(0).address());
    assertThat(events.stream().filter("dispatcher.changed"::equals).count()).isEqualTo(1);
    assertThat(dispatchers.probed.size()).isAtMost(12);
  }

  @Test
  void theEndOfAPartitionIsDetectedWithinHalfASecond() {
    dispatchers.alive = false;
    placer.place(placementRequest("r0"), decisions::add);
    dispatchers.answer(Optional.empty());
    relay.time().advance(Duration.ofSeconds(7));
    dispatchers.asked.clear();

    dispatchers.alive = true;
    relay.time().advance(Duration.ofMillis(500));
    placer.place(placementRequest("r1"), decisions::add);

    assertThat(dispatchers.asked).containsExactly(ranked.get(0).address());
  }

  @Test
  void aLiveDispatcherThatDeclinesIsAskedWithExponentialBackoff() {
    for (int i = 0; i < 100; i++) {
      placer.place(placementRequest("r" + i), decisions::add);
      dispatchers.answer(
          dispatchers.asked.get(dispatchers.asked.size() - 1).equals(ranked.get(0).address())
              ? Optional.empty()
              : Optional.of(granted("pool2")));
      relay.time().advance(Duration.ofMillis(100));
    }

    // The dispatcher is asked after 0, 0.5, 1.5, 3.5 and 7.5 seconds.
    assertThat(dispatchers.asked.stream().filter(ranked.get(0).address()::equals).count())
        .isAtMost(5);
  }

  @Test
  void aSingleNodePlacesRequestsByItsOwnScheduler() {
    placer.updateMembers(ImmutableList.of());

    placer.place(placementRequest("r1"), decisions::add);

    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0)).isInstanceOf(Placement.Granted.class);
    assertThat(dispatchers.asked).isEmpty();
  }

  @Test
  void theDispatcherReceivesTheEndOfWork() {
    placer.place(placementRequest("r1"), decisions::add);
    dispatchers.answer(Optional.of(granted("pool2")));

    placer.firstEvent(RelayFixture.POOL, new RequestId("r1"));
    placer.ended(RelayFixture.POOL, new RequestId("r1"), true);
    relay.time().advance(Duration.ofMillis(20));

    assertThat(dispatchers.reports)
        .containsExactly(
            new WorkReport.FirstEvent(RelayFixture.POOL, new RequestId("r1")),
            new WorkReport.Ended(RelayFixture.POOL, new RequestId("r1"), true))
        .inOrder();
  }

  @Test
  void theDispatcherHearsAtOnceOfAServerThatIsLeaving() {
    dispatchers.reported.clear();

    leavingServers.mark(leaving("pool1"), LeavingServers.Source.RESPONSE);

    assertThat(dispatchers.reported).containsExactly(ranked.get(0).address());
    assertThat(dispatchers.reports).containsExactly(leaving("pool1").toReport());
  }

  @Test
  void whatAPeerReportedAsLeavingIsNotReportedBack() {
    leavingServers.mark(leaving("pool1"), LeavingServers.Source.PEER);
    leavingServers.mark(leaving("pool1"), LeavingServers.Source.RESPONSE);
    relay.time().advance(Duration.ofSeconds(1));

    assertThat(dispatchers.reports).isEmpty();
  }

  @Test
  void aNewDispatcherReceivesTheServersThatAreLeaving() {
    leavingServers.mark(leaving("pool1"), LeavingServers.Source.RESPONSE);
    dispatchers.reports.clear();
    dispatchers.reported.clear();

    placer.place(placementRequest("r1"), decisions::add);
    dispatchers.answer(Optional.empty());

    assertThat(dispatchers.reported).containsExactly(ranked.get(1).address());
    assertThat(dispatchers.reports).contains(leaving("pool1").toReport());
  }

  @Test
  void aDispatcherThatPlacesOnALeavingServerIsToldAgain() {
    leavingServers.update(relay.node().view().servers().orElseThrow().serversById());
    leavingServers.mark(leaving("pool1"), LeavingServers.Source.RESPONSE);
    dispatchers.reports.clear();

    placer.place(placementRequest("r1"), decisions::add);
    dispatchers.answer(Optional.of(granted("pool2")));
    assertThat(dispatchers.reports).isEmpty();

    placer.place(placementRequest("r2"), decisions::add);
    dispatchers.answer(Optional.of(granted("pool1")));
    assertThat(dispatchers.reports).containsExactly(leaving("pool1").toReport());
  }

  private static LeavingServers.Instance leaving(String server) {
    return new LeavingServers.Instance(RelayFixture.POOL, new ReplicaId(server), 1);
  }

  private static Placement.Granted granted(String server) {
    return new Placement.Granted(
        new ReplicaId(server), ImmutableList.of(), Duration.ofMillis(50), 0);
  }

  private static PlacementRequest placementRequest(String request) {
    return new PlacementRequest(
        new RequestId(request),
        RelayFixture.POOL,
        new GenerationSize(5_000, 100),
        PromptParts.NONE,
        Duration.ofMillis(300),
        Duration.ofMillis(200),
        Duration.ofSeconds(5),
        ImmutableSet.of());
  }

  private static ImmutableList<Member> rankedMembers() {
    ImmutableList.Builder<Member> members = ImmutableList.builder();
    for (int i = 0; i < 3; i++) {
      members.add(member("n" + i, i));
    }
    return RendezvousHash.ranked(members.build(), RelayFixture.POOL.value())
        .collect(ImmutableList.toImmutableList());
  }

  private static Member member(String name, int address) {
    return new Member(
        new Incarnation(new DaemonId(name), 1),
        new Zone("a"),
        new PeerAddress("10.0.1." + address, 90),
        MemberState.ALIVE);
  }

  private static Member withCapacity(Member member, int capacity) {
    return new Member(
        member.incarnation(), member.zone(), member.address(), member.state(), capacity);
  }

  private final class ScriptedDispatchers implements DispatcherClient {

    private final List<PeerAddress> asked = new ArrayList<>();
    private final List<WorkReport> reports = new ArrayList<>();
    private final List<PeerAddress> reported = new ArrayList<>();
    private final List<PeerAddress> probed = new ArrayList<>();
    private boolean alive = true;
    private Consumer<Optional<Placement>> pendingCallback = decision -> {};

    @Override
    public void requestPlacement(
        PeerAddress peer,
        PlacementRequest placementRequest,
        Duration timeout,
        Consumer<Optional<Placement>> callback) {
      asked.add(peer);
      pendingCallback = callback;
    }

    @Override
    public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback) {
      probed.add(peer);
      callback.accept(alive);
    }

    @Override
    public void report(PeerAddress peer, ImmutableList<WorkReport> newReports) {
      reports.addAll(newReports);
      reported.add(peer);
    }

    private void answer(Optional<Placement> decision) {
      pendingCallback.accept(decision);
      relay.time().runDue();
    }
  }
}
