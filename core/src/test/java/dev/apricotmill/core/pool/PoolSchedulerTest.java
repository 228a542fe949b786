package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.prompt.PromptParts;
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
  private static final EngineCostModel COST_MODEL =
      new EngineCostModel(11, 450_000, 0.925, 0.007, 0.00254, 256, 0.0917, 46, 13_229);
  private static final int SERVERS = 23;

  private final PoolScheduler scheduler = new PoolScheduler(COST_MODEL);
  private long nowNanos;
  private int requests;

  PoolSchedulerTest() {
    scheduler.updateServers(servers(1), COST_MODEL);
  }

  @Test
  void shortPromptsArePackedOnOneEngineWhileNoResponseIsLate() {
    Set<ReplicaId> used = new HashSet<>();
    for (int i = 0; i < 8; i++) {
      RequestId request = nextRequest();
      used.add(granted(scheduler.place(shortPrompt(request), nowNanos)).server());
      advance(300);
      scheduler.onFirstEvent(request, nowNanos);
    }

    assertThat(used).hasSize(1);
  }

  @Test
  void simultaneousShortPromptsAreSpreadBeforeTheirPrefillDelaysEvents() {
    List<ReplicaId> used = new ArrayList<>();
    for (int i = 0; i < 18; i++) {
      used.add(granted(scheduler.place(shortPrompt(nextRequest()), nowNanos)).server());
    }

    assertThat(new HashSet<>(used).size()).isAtLeast(3);
  }

  @Test
  void aLongPromptIsPrefilledInPartsAwayFromDecodingEngines() {
    RequestId decoding = nextRequest();
    ReplicaId busy = granted(scheduler.place(shortPrompt(decoding), nowNanos)).server();
    advance(300);
    scheduler.onFirstEvent(decoding, nowNanos);

    Placement.Granted placement =
        granted(scheduler.place(longPrompt(nextRequest(), 210_000), nowNanos));

    assertThat(placement.helpers().size()).isAtLeast(5);
    assertThat(placement.helpers()).doesNotContain(busy);
    assertThat(placement.server()).isNotEqualTo(busy);
  }

  /** Load shift: all engines decode for short prompts when the first long prompt arrives. */
  @Test
  void whenEveryEngineDecodesALongPromptDelaysFewOfThem() {
    fillWithDecodingRequests();

    Placement.Granted placement =
        granted(scheduler.place(longPrompt(nextRequest(), 250_000), nowNanos));

    assertThat(placement.helpers().size()).isAtMost(4);
    assertThat(placement.expectedFirstEvent()).isLessThan(Duration.ofSeconds(3));
  }

  @Test
  void theNextLongPromptUsesEnginesWhoseResponsesAreAlreadyLate() {
    fillWithDecodingRequests();
    RequestId request = nextRequest();
    Placement.Granted first = granted(scheduler.place(longPrompt(request, 250_000), nowNanos));
    advance(50);
    scheduler.onFirstEvent(request, nowNanos);

    Placement.Granted second =
        granted(scheduler.place(longPrompt(nextRequest(), 250_000), nowNanos));

    assertThat(engines(second)).containsAnyIn(first.helpers());
  }

  @Test
  void aMidSizePromptAvoidsTheEngineThatServesShortPrompts() {
    RequestId decoding = nextRequest();
    ReplicaId busy = granted(scheduler.place(shortPrompt(decoding), nowNanos)).server();
    advance(300);
    scheduler.onFirstEvent(decoding, nowNanos);

    for (int i = 0; i < 5; i++) {
      Placement.Granted placement =
          granted(scheduler.place(longPrompt(nextRequest(), 45_000), nowNanos));
      assertThat(engines(placement)).doesNotContain(busy);
    }
  }

  @Test
  void aFailedEngineGetsNoWorkWhileOthersAreAvailable() {
    ReplicaId first = granted(scheduler.place(shortPrompt(nextRequest()), nowNanos)).server();

    scheduler.onServerFailure(first, false, nowNanos);

    assertThat(granted(scheduler.place(shortPrompt(nextRequest()), nowNanos)).server())
        .isNotEqualTo(first);
    advance(3_100);
    assertThat(granted(scheduler.place(shortPrompt(nextRequest()), nowNanos)).server())
        .isEqualTo(first);
  }

  @Test
  void anExcludedServerGetsNoPartOfTheRequest() {
    RequestId request = nextRequest();
    ReplicaId first = granted(scheduler.place(longPrompt(request, 210_000), nowNanos)).server();
    scheduler.onEnd(request, nowNanos);
    PlacementRequest template = longPrompt(nextRequest(), 210_000);

    Placement.Granted other =
        granted(
            scheduler.place(
                new PlacementRequest(
                    template.requestId(),
                    template.service(),
                    template.size(),
                    template.promptParts(),
                    template.firstEventTarget(),
                    template.eventGapTarget(),
                    template.remainingTime(),
                    ImmutableSet.of(first)),
                nowNanos));

    assertThat(engines(other)).doesNotContain(first);
  }

  @Test
  void serversLostTogetherPutTheirZoneInCoolDown() {
    for (String lost : List.of("s00", "s02", "s04")) {
      scheduler.onServerFailure(new ReplicaId(lost), true, nowNanos);
    }

    Placement.Granted placement =
        granted(scheduler.place(longPrompt(nextRequest(), 210_000), nowNanos));

    assertThat(engines(placement).stream().filter(PoolSchedulerTest::isInZoneA).toList()).isEmpty();
  }

  @Test
  void aPromptTooLargeForOneEngineIsSplitAcrossEnginesThatHoldItsParts() {
    Placement.Granted placement =
        granted(scheduler.place(longPrompt(nextRequest(), 500_000), nowNanos));

    assertThat(placement.reservedTokens() * placement.helpers().size()).isLessThan(500_000);
    assertThat(placement.reservedTokens() * (placement.helpers().size() + 1)).isAtLeast(500_000);
  }

  @Test
  void aPromptTooLargeForOneEngineIsRefusedWhenItWouldDelayOthers() {
    fillWithDecodingRequests();

    assertThat(scheduler.place(longPrompt(nextRequest(), 500_000), nowNanos))
        .isInstanceOf(Placement.Full.class);
  }

  @Test
  void aServerRestartedUnderTheSameNameHoldsNoWork() {
    RequestId request = nextRequest();
    scheduler.place(longPrompt(request, 400_000), nowNanos);

    scheduler.updateServers(servers(2), COST_MODEL);

    assertThat(
            granted(scheduler.place(longPrompt(nextRequest(), 400_000), nowNanos))
                .expectedFirstEvent())
        .isLessThan(Duration.ofSeconds(1));
  }

  @Test
  void expiredWorkIsRemoved() {
    scheduler.place(shortPrompt(nextRequest()), nowNanos);
    advance(10_100);

    scheduler.place(shortPrompt(nextRequest()), nowNanos);

    assertThat(scheduler.placedCount()).isEqualTo(1);
  }

  @Test
  void aLeavingServerGetsNoWork() {
    scheduler.updateServers(
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
        COST_MODEL);

    Placement.Granted placement =
        granted(scheduler.place(longPrompt(nextRequest(), 210_000), nowNanos));

    assertThat(engines(placement)).containsExactly(new ReplicaId("s22"));
  }

  @Test
  void aFullPoolRefusesWithARetryDelay() {
    for (int i = 0; i < SERVERS * 11; i++) {
      scheduler.place(shortPrompt(nextRequest()), nowNanos);
    }

    Placement placement = scheduler.place(shortPrompt(nextRequest()), nowNanos);

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
      applyStep(step, open);
      advance(37);
    }

    assertThat(scheduler.placedCount()).isEqualTo(open.size());
    open.forEach(request -> scheduler.onEnd(request, nowNanos));
    assertThat(scheduler.placedCount()).isEqualTo(0);
    assertThat(
            granted(scheduler.place(longPrompt(nextRequest(), 400_000), nowNanos))
                .expectedFirstEvent())
        .isLessThan(Duration.ofSeconds(2));
  }

  private void applyStep(int step, List<RequestId> open) {
    RequestId request = nextRequest();
    switch (step) {
      case 0 -> addIfGranted(shortPrompt(request), open);
      case 1 -> addIfGranted(longPrompt(request, 45_000), open);
      case 2 -> addIfGranted(longPrompt(request, 300_000), open);
      case 3 -> {
        if (!open.isEmpty()) {
          scheduler.onFirstEvent(open.get(0), nowNanos);
        }
      }
      default -> {
        if (!open.isEmpty()) {
          scheduler.onEnd(open.remove(0), nowNanos);
        }
      }
    }
  }

  private void addIfGranted(PlacementRequest request, List<RequestId> open) {
    if (scheduler.place(request, nowNanos) instanceof Placement.Granted) {
      open.add(request.requestId());
    }
  }

  private void fillWithDecodingRequests() {
    for (int i = 0; i < SERVERS * 9; i++) {
      RequestId request = nextRequest();
      scheduler.place(shortPrompt(request), nowNanos);
      advance(20);
      scheduler.onFirstEvent(request, nowNanos);
    }
  }

  private static boolean isInZoneA(ReplicaId server) {
    return Integer.parseInt(server.value().substring(1)) % 2 == 0;
  }

  private static ImmutableList<ReplicaId> engines(Placement.Granted granted) {
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

  private static PlacementRequest shortPrompt(RequestId request) {
    return placementRequest(request, 5_000, 300, 200, 10_000);
  }

  private static PlacementRequest longPrompt(RequestId request, long tokens) {
    return placementRequest(request, tokens, 3_000, 800, 15_000);
  }

  private static PlacementRequest placementRequest(
      RequestId request,
      long promptTokens,
      long firstEventTargetMillis,
      long eventGapTargetMillis,
      long remainingMillis) {
    return new PlacementRequest(
        request,
        POOL,
        new GenerationSize(promptTokens, 1_600),
        PromptParts.NONE,
        Duration.ofMillis(firstEventTargetMillis),
        Duration.ofMillis(eventGapTargetMillis),
        Duration.ofMillis(remainingMillis),
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
