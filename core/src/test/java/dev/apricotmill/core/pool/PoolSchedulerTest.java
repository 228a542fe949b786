package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class PoolSchedulerTest {

  private static final ServiceName POOL = new ServiceName("pool");
  private static final EngineCostModel FIGURES =
      new EngineCostModel(11, 450_000, 0.925, 0.007, 0.00254, 256, 0.0917, 46, 13_229);
  private static final int SERVERS = 23;

  private final PoolScheduler ledger = new PoolScheduler(FIGURES);
  private long nowNanos;
  private int requests;

  PoolSchedulerTest() {
    ledger.updateServers(servers(1), FIGURES);
  }

  @Test
  void shortQuestionsArePackedOnOneEngineWhileNoneIsLateByIt() {
    Set<ReplicaId> used = new HashSet<>();
    for (int i = 0; i < 8; i++) {
      RequestId request = nextRequest();
      used.add(granted(ledger.place(question(request), nowNanos)).server());
      advance(300);
      ledger.onFirstEvent(request, nowNanos);
    }

    assertThat(used).hasSize(1);
  }

  @Test
  void questionsThatComeAtOnceAreSpreadBeforeTheirReadingDelaysTheirEvents() {
    List<ReplicaId> used = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      used.add(granted(ledger.place(question(nextRequest()), nowNanos)).server());
    }

    assertThat(new HashSet<>(used).size()).isAtLeast(3);
  }

  @Test
  void aLongPromptIsReadInPartsAwayFromWriters() {
    RequestId writer = nextRequest();
    ReplicaId busy = granted(ledger.place(question(writer), nowNanos)).server();
    advance(300);
    ledger.onFirstEvent(writer, nowNanos);

    Placement.Granted audit = granted(ledger.place(audit(nextRequest(), 210_000), nowNanos));

    assertThat(audit.helpers().size()).isAtLeast(5);
    assertThat(audit.helpers()).doesNotContain(busy);
    assertThat(audit.server()).isNotEqualTo(busy);
  }

  /** Replays the turn of the mix: every engine writes for questions when long prompts come. */
  @Test
  void whereEveryEngineWritesALongPromptDelaysFewOfThem() {
    fillWithWriters();

    Placement.Granted audit = granted(ledger.place(audit(nextRequest(), 250_000), nowNanos));

    assertThat(audit.helpers().size()).isAtMost(4);
    assertThat(audit.expectedFirstEvent()).isLessThan(Duration.ofSeconds(3));
  }

  @Test
  void thePromptThatFollowsUsesTheEnginesWhoseWritersAreLateAnyway() {
    fillWithWriters();
    RequestId request = nextRequest();
    Placement.Granted first = granted(ledger.place(audit(request, 250_000), nowNanos));
    advance(50);
    ledger.onFirstEvent(request, nowNanos);

    Placement.Granted second = granted(ledger.place(audit(nextRequest(), 250_000), nowNanos));

    assertThat(members(second)).containsAnyIn(first.helpers());
  }

  @Test
  void aReviewLeavesTheRoomBesideQuestionsToQuestions() {
    RequestId writer = nextRequest();
    ReplicaId busy = granted(ledger.place(question(writer), nowNanos)).server();
    advance(300);
    ledger.onFirstEvent(writer, nowNanos);

    for (int i = 0; i < 5; i++) {
      Placement.Granted review = granted(ledger.place(audit(nextRequest(), 45_000), nowNanos));
      assertThat(members(review)).doesNotContain(busy);
    }
  }

  @Test
  void anEngineThatFailedGetsNoWorkWhileOthersAreThere() {
    ReplicaId first = granted(ledger.place(question(nextRequest()), nowNanos)).server();

    ledger.onServerFailure(first, false, nowNanos);

    assertThat(granted(ledger.place(question(nextRequest()), nowNanos)).server())
        .isNotEqualTo(first);
    advance(3_100);
    assertThat(granted(ledger.place(question(nextRequest()), nowNanos)).server()).isEqualTo(first);
  }

  @Test
  void aServerToAvoidGetsNoPartOfTheRequest() {
    RequestId request = nextRequest();
    ReplicaId first = granted(ledger.place(audit(request, 210_000), nowNanos)).server();
    ledger.onEnd(request, nowNanos);
    PlacementRequest again = audit(nextRequest(), 210_000);

    Placement.Granted other =
        granted(
            ledger.place(
                new PlacementRequest(
                    again.request(),
                    again.service(),
                    again.size(),
                    again.firstEventTarget(),
                    again.eventGapTarget(),
                    again.remainingTime(),
                    ImmutableSet.of(first)),
                nowNanos));

    assertThat(members(other)).doesNotContain(first);
  }

  @Test
  void serversThatAreLostTogetherStandForTheirZone() {
    for (String lost : List.of("s00", "s02", "s04")) {
      ledger.onServerFailure(new ReplicaId(lost), true, nowNanos);
    }

    Placement.Granted audit = granted(ledger.place(audit(nextRequest(), 210_000), nowNanos));

    assertThat(members(audit).stream().filter(PoolSchedulerTest::isInZoneA).toList()).isEmpty();
  }

  @Test
  void aPromptThatNoEngineHoldsIsSharedByEnginesThatHoldItsParts() {
    Placement.Granted huge = granted(ledger.place(audit(nextRequest(), 500_000), nowNanos));

    assertThat(huge.reservedTokens() * huge.helpers().size()).isLessThan(500_000);
    assertThat(huge.reservedTokens() * (huge.helpers().size() + 1)).isAtLeast(500_000);
  }

  @Test
  void aPromptThatNoEngineHoldsIsRefusedWhereItWouldDelayOthers() {
    fillWithWriters();

    assertThat(ledger.place(audit(nextRequest(), 500_000), nowNanos))
        .isInstanceOf(Placement.Full.class);
  }

  @Test
  void aServerThatCameBackUnderItsNameHoldsNothing() {
    RequestId request = nextRequest();
    ledger.place(audit(request, 400_000), nowNanos);

    ledger.updateServers(servers(2), FIGURES);

    assertThat(granted(ledger.place(audit(nextRequest(), 400_000), nowNanos)).expectedFirstEvent())
        .isLessThan(Duration.ofSeconds(1));
  }

  @Test
  void workWhoseTimeIsOverIsForgotten() {
    ledger.place(question(nextRequest()), nowNanos);
    advance(10_100);

    ledger.place(question(nextRequest()), nowNanos);

    assertThat(ledger.placedCount()).isEqualTo(1);
  }

  @Test
  void aLeavingServerGetsNoWork() {
    ledger.updateServers(
        servers(1).stream()
            .map(
                server ->
                    new BackendServer(
                        server.id(),
                        POOL,
                        server.address(),
                        server.zone(),
                        server.slots(),
                        server.id().value().equals("s22"),
                        1))
            .collect(ImmutableList.toImmutableList()),
        FIGURES);

    Placement.Granted audit = granted(ledger.place(audit(nextRequest(), 210_000), nowNanos));

    assertThat(members(audit)).containsExactly(new ReplicaId("s22"));
  }

  @Test
  void aFullPoolSaysWhenToComeBack() {
    for (int i = 0; i < SERVERS * 11; i++) {
      ledger.place(question(nextRequest()), nowNanos);
    }

    Placement placement = ledger.place(question(nextRequest()), nowNanos);

    assertThat(placement).isInstanceOf(Placement.Full.class);
  }

  @Property(tries = 200)
  void noSequenceOfPlacementsOverfillsAnEngineOrLeavesWorkBehind(
      @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 4) Integer> steps) {
    new PoolSchedulerTest().endAllAfter(steps);
  }

  private void endAllAfter(List<Integer> steps) {
    List<RequestId> open = new ArrayList<>();
    for (int step : steps) {
      take(step, open);
      advance(37);
    }

    assertThat(ledger.placedCount()).isEqualTo(open.size());
    open.forEach(request -> ledger.onEnd(request, nowNanos));
    assertThat(ledger.placedCount()).isEqualTo(0);
    assertThat(granted(ledger.place(audit(nextRequest(), 400_000), nowNanos)).expectedFirstEvent())
        .isLessThan(Duration.ofSeconds(2));
  }

  private void take(int step, List<RequestId> open) {
    RequestId request = nextRequest();
    switch (step) {
      case 0 -> addIfGranted(question(request), open);
      case 1 -> addIfGranted(audit(request, 45_000), open);
      case 2 -> addIfGranted(audit(request, 300_000), open);
      case 3 -> {
        if (!open.isEmpty()) {
          ledger.onFirstEvent(open.get(0), nowNanos);
        }
      }
      default -> {
        if (!open.isEmpty()) {
          ledger.onEnd(open.remove(0), nowNanos);
        }
      }
    }
  }

  private void addIfGranted(PlacementRequest ask, List<RequestId> open) {
    if (ledger.place(ask, nowNanos) instanceof Placement.Granted) {
      open.add(ask.request());
    }
  }

  private void fillWithWriters() {
    for (int i = 0; i < SERVERS * 9; i++) {
      RequestId request = nextRequest();
      ledger.place(question(request), nowNanos);
      advance(20);
      ledger.onFirstEvent(request, nowNanos);
    }
  }

  private static boolean isInZoneA(ReplicaId server) {
    return Integer.parseInt(server.value().substring(1)) % 2 == 0;
  }

  private static ImmutableList<ReplicaId> members(Placement.Granted granted) {
    return ImmutableList.<ReplicaId>builder()
        .add(granted.server())
        .addAll(granted.helpers())
        .build();
  }

  private static Placement.Granted granted(Placement placement) {
    assertThat(placement).isInstanceOf(Placement.Granted.class);
    return (Placement.Granted) placement;
  }

  private void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private RequestId nextRequest() {
    return new RequestId("r" + requests++);
  }

  private static PlacementRequest question(RequestId request) {
    return ask(request, 5_000, 300, 200, 10_000);
  }

  private static PlacementRequest audit(RequestId request, long tokens) {
    return ask(request, tokens, 3_000, 800, 15_000);
  }

  private static PlacementRequest ask(
      RequestId request, long tokens, long goal, long pauseGoal, long remaining) {
    return new PlacementRequest(
        request,
        POOL,
        new GenerationSize(tokens, 1_600),
        Duration.ofMillis(goal),
        Duration.ofMillis(pauseGoal),
        Duration.ofMillis(remaining),
        ImmutableSet.of());
  }

  private static ImmutableList<BackendServer> servers(long startedMillis) {
    return IntStream.range(0, SERVERS)
        .mapToObj(
            i ->
                new BackendServer(
                    new ReplicaId(String.format("s%02d", i)),
                    POOL,
                    new PeerAddress("10.0.0." + i, 80),
                    new Zone(i % 2 == 0 ? "a" : "b"),
                    11,
                    true,
                    startedMillis))
        .collect(ImmutableList.toImmutableList());
  }
}
