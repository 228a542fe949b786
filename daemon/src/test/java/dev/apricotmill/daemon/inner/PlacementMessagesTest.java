package dev.apricotmill.daemon.inner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.LimitedServers;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.protocol.generated.WorkEvent;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

final class PlacementMessagesTest {

  private static final ServiceName POOL = new ServiceName("pool");
  private static final RequestId REQUEST = new RequestId("r1");
  private static final PromptParts PROMPT_PARTS = new PromptParts(ImmutableList.of("5c1e", "91bd"));
  private static final PlacementRequest PLACEMENT_REQUEST =
      new PlacementRequest(
          REQUEST,
          POOL,
          new GenerationSize(210_000, 800),
          PROMPT_PARTS,
          Duration.ofMillis(-20),
          Duration.ofMillis(800),
          Duration.ofMillis(12_000),
          ImmutableSet.of(new ReplicaId("a")));
  private static final Placement.Granted GRANTED =
      new Placement.Granted(
          new ReplicaId("b"), ImmutableList.of(new ReplicaId("c")), Duration.ofMillis(300), 480);

  private static final LimitedServers.Instance INSTANCE =
      new LimitedServers.Instance(new ReplicaId("a"), 1_784_505_600_000L);

  @Test
  void aRequestRoundTrips() {
    assertThat(PlacementMessages.fromMessage(PlacementMessages.toMessage(PLACEMENT_REQUEST)))
        .isEqualTo(PLACEMENT_REQUEST);
  }

  @Test
  void everyDecisionRoundTrips() {
    for (Optional<Placement> decision :
        ImmutableList.of(
            Optional.<Placement>of(GRANTED),
            Optional.<Placement>of(GRANTED.withRequestsPerSecond(OptionalDouble.of(0.5))),
            Optional.<Placement>of(new Placement.Full(Duration.ofMillis(500))),
            Optional.<Placement>of(new Placement.Blocked("5c1e")),
            Optional.<Placement>empty())) {
      assertThat(PlacementMessages.fromMessage(PlacementMessages.toMessage(decision)))
          .isEqualTo(decision);
    }
  }

  @Test
  void everyReportRoundTrips() {
    for (WorkReport report :
        ImmutableList.of(
            new WorkReport.FirstEvent(POOL, REQUEST),
            new WorkReport.Ended(POOL, REQUEST, true),
            new WorkReport.Ended(POOL, REQUEST, false),
            new WorkReport.BrokenOff(POOL, new ReplicaId("a"), PROMPT_PARTS, Duration.ofMillis(30)),
            new WorkReport.PartWritten(POOL, "5c1e", 2.5, Duration.ofMillis(30)),
            new WorkReport.PartBlocked(POOL, "5c1e"),
            new WorkReport.Leaving(POOL, new ReplicaId("a"), 1_784_505_600_000L),
            new WorkReport.Limited(POOL, INSTANCE, OptionalDouble.of(0.5), Duration.ofMillis(30)),
            new WorkReport.Limited(POOL, INSTANCE, OptionalDouble.empty(), Duration.ZERO),
            new WorkReport.Failed(POOL, new ReplicaId("a"), true),
            new WorkReport.Running(PLACEMENT_REQUEST, GRANTED, true))) {
      assertThat(PlacementMessages.fromMessage(PlacementMessages.toMessage(report)))
          .isEqualTo(Optional.of(report));
    }
  }

  @Test
  void aReportOfAnUnknownKindIsIgnored() {
    assertThat(PlacementMessages.fromMessage(WorkEvent.getDefaultInstance())).isEmpty();
  }
}
