package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
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
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * A dispatcher that places plain requests of other nodes. Guards against answers that other nodes
 * report and that do not change its placements, and against a changed choice where answers are not
 * weighed.
 */
final class WeighedPlacementTest {

  private static final ReplicaId FAULTY = new ReplicaId("desk0");

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final LocalPlacer placer =
      new LocalPlacer(timing, new BackendLimits(timing, (event, fields) -> {}));
  private final SharedKnowledge knowledge = SharedKnowledge.none(timing, EventLog.NONE);
  private final PlacementEndpoint endpoint =
      new PlacementEndpoint(
          timing,
          placer,
          knowledge,
          new CrashWatch(timing, placer, knowledge.blockedParts()),
          () -> false);
  private int requests;

  private void update() {
    placer.update(
        ServingView.EMPTY
            .withConfiguration(RelayFixture.configuration(1), Optional.empty())
            .withServers(ScriptedServers.ofServices(3, RelayFixture.DESK)));
  }

  /** Places a request of another node, which ends in time. */
  private ReplicaId place() {
    PlacementRequest request =
        new PlacementRequest(
            new RequestId("r" + ++requests),
            RelayFixture.DESK,
            new GenerationSize(0, 0),
            PromptParts.NONE,
            Duration.ofMillis(300),
            Duration.ofSeconds(3),
            Duration.ofSeconds(3),
            ImmutableSet.of());
    List<Placement> placements = new ArrayList<>();
    endpoint.place(request, placement -> placement.ifPresent(placements::add));
    time.runDue();
    endpoint.report(
        ImmutableList.of(new WorkReport.Ended(RelayFixture.DESK, request.requestId(), true)));
    time.runDue();
    return ((Placement.Granted) placements.get(0)).server();
  }

  private void reportFailure() {
    endpoint.report(
        ImmutableList.of(
            new WorkReport.Failed(RelayFixture.DESK, FAULTY, /* unreachable= */ false)));
    time.runDue();
  }

  private long countPlacementsAtFaultyServer(int count) {
    long found = 0;
    for (int i = 0; i < count; i++) {
      found += place().equals(FAULTY) ? 1 : 0;
    }
    return found;
  }

  @Test
  void aFailureThatAnotherNodeReportsKeepsRequestsOfAllNodesFromTheServer() {
    placer.weighAnswers(new SplittableRandom(1), (service, change) -> {});
    update();
    reportFailure();

    assertThat(countPlacementsAtFaultyServer(12)).isEqualTo(0);
  }

  @Test
  void whereAnswersAreNotWeighedServersAreChosenInTurn() {
    update();
    reportFailure();

    assertThat(countPlacementsAtFaultyServer(12)).isEqualTo(4);
  }
}
