package dev.apricotmill.core.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.core.steward.Requests;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReplicaRouterTest {

  private static final Zone OWN_ZONE = new Zone("near");
  private static final Zone OTHER_ZONE = new Zone("far");

  private final ReplicaRouter router = new ReplicaRouter(OWN_ZONE);
  private final SplittableRandom random = new SplittableRandom(1);

  @Test
  void anIdleReplicaOfTheOwnZoneIsPreferred() {
    RoutingDecision.Forward forward =
        forward(Requests.request("r", 1_000), view("a", OWN_ZONE, 0), view("b", OTHER_ZONE, 0));
    assertThat(forward.target().replica()).isEqualTo(new ReplicaId("a"));
    assertThat(forward.cause()).isEqualTo(RoutingDecision.Cause.LOWER_LOAD);
  }

  @Test
  void aBusyZoneSpillsToAnIdleOne() {
    RoutingDecision.Forward forward =
        forward(
            Requests.request("r", 1_000), view("a", OWN_ZONE, 30_000), view("b", OTHER_ZONE, 0));
    assertThat(forward.target().replica()).isEqualTo(new ReplicaId("b"));
    assertThat(forward.cause()).isEqualTo(RoutingDecision.Cause.SPILL);
  }

  @Test
  void longPromptsSpreadWithoutANewLoadReport() {
    Map<ReplicaId, Integer> counts = new HashMap<>();
    for (int number = 0; number < 4; number++) {
      ReplicaId chosen =
          forward(
                  Requests.request("r" + number, 100_000),
                  view("a", OWN_ZONE, 0),
                  view("b", OWN_ZONE, 0),
                  view("c", OWN_ZONE, 0),
                  view("d", OWN_ZONE, 0))
              .target()
              .replica();
      counts.merge(chosen, 1, Integer::sum);
    }
    assertThat(counts).hasSize(4);
  }

  @Test
  void requestsWithACommonPrefixGoToOneReplicaUntilItIsBusy() {
    ReplicaId first = forward(prefixed("r1"), idle()).target().replica();
    for (int number = 0; number < 5; number++) {
      RoutingDecision.Forward next = forward(prefixed("s" + number), views(number + 1L));
      assertThat(next.target().replica()).isEqualTo(first);
      assertThat(next.cause()).isEqualTo(RoutingDecision.Cause.PREFIX_AFFINITY);
    }
    ImmutableList.Builder<ReplicaView> busy = ImmutableList.builder();
    for (ReplicaView view : idle()) {
      busy.add(view.replica().equals(first) ? view(first.value(), OWN_ZONE, 60_000) : view);
    }
    assertThat(forward(prefixed("t"), busy.build()).target().replica()).isNotEqualTo(first);
  }

  @Test
  void aReplicaWithoutMemoryForTheRequestIsAvoided() {
    ReplicaLoad full = new ReplicaLoad(450_000, 449_500, 0, 0, 0, 0, 0, 0, 30_000, Duration.ZERO);
    for (int number = 0; number < 20; number++) {
      ReplicaView crowded =
          new ReplicaView(new ReplicaId("a"), OWN_ZONE, new DaemonId("d"), full, number, true);
      RoutingDecision.Forward forward =
          forward(Requests.request("r" + number, 20_000), crowded, view("b", OWN_ZONE, 0, number));
      assertThat(forward.target().replica()).isEqualTo(new ReplicaId("b"));
    }
  }

  @Test
  void aPromptTooLargeForEveryReplicaNeverFits() {
    RoutingDecision decision =
        router.choose(
            Requests.request("r", 450_000),
            ImmutableList.of(view("a", OWN_ZONE, 0)),
            ImmutableSet.of(),
            random,
            0);
    assertThat(decision)
        .isEqualTo(new RoutingDecision.Refuse(RefusalReason.NEVER_FITS, Duration.ZERO));
  }

  @Test
  void triedAndUnusableReplicasGetNoRequests() {
    ReplicaView unusable =
        new ReplicaView(
            new ReplicaId("b"), OWN_ZONE, new DaemonId("d"), ReplicaLoad.UNKNOWN, 0, false);
    RoutingDecision decision =
        router.choose(
            Requests.request("r", 1_000),
            ImmutableList.of(view("a", OWN_ZONE, 0), unusable),
            ImmutableSet.of(new ReplicaId("a")),
            random,
            0);
    assertThat(((RoutingDecision.Refuse) decision).reason()).isEqualTo(RefusalReason.NO_REPLICA);
  }

  private RoutingDecision.Forward forward(GenerationRequest request, ReplicaView... views) {
    return forward(request, ImmutableList.copyOf(views));
  }

  private RoutingDecision.Forward forward(
      GenerationRequest request, ImmutableList<ReplicaView> views) {
    return (RoutingDecision.Forward) router.choose(request, views, ImmutableSet.of(), random, 0);
  }

  private static GenerationRequest prefixed(String id) {
    GenerationRequest plain = Requests.request(id, 1_000);
    return new GenerationRequest(
        plain.id(),
        plain.customer(),
        plain.service(),
        plain.prompt(),
        plain.promptTokens(),
        plain.maximumOutputTokens(),
        plain.priority(),
        plain.weight(),
        new PrefixFingerprint(77),
        plain.repeatable(),
        plain.deadline());
  }

  private static ImmutableList<ReplicaView> idle() {
    return views(0);
  }

  private static ImmutableList<ReplicaView> views(long loadAtNanos) {
    return ImmutableList.of(
        view("a", OWN_ZONE, 0, loadAtNanos),
        view("b", OWN_ZONE, 0, loadAtNanos),
        view("c", OWN_ZONE, 0, loadAtNanos));
  }

  private static ReplicaView view(String replica, Zone zone, long shortTokens) {
    return view(replica, zone, shortTokens, 0);
  }

  private static ReplicaView view(String replica, Zone zone, long shortTokens, long loadAtNanos) {
    ReplicaLoad load =
        new ReplicaLoad(450_000, 0, 0, shortTokens, shortTokens, 0, 0, 0, 30_000, Duration.ZERO);
    return new ReplicaView(
        new ReplicaId(replica), zone, new DaemonId("d"), load, loadAtNanos, true);
  }
}
