package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Iterables;
import dev.apricotmill.core.prompt.PromptParts;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Plays a node that hears from an instance of a server that its list does not name yet. */
final class LeavingSuccessorTest {

  private static final Duration TICK = Duration.ofMillis(10);

  private final RelayFleet fleet = new RelayFleet(1, 1, 1);

  @Test
  void aSuccessorThatLeavesGetsNothingOnceTheListNamesIt() {
    EngineFleet engines = fleet.engines();
    engines.addServers(RelayFixture.DESK, 2);
    fleet.restartAllNodes();
    fleet.cutFromList(0, Duration.ofSeconds(8));
    FleetServer first = engines.serversOf(RelayFixture.DESK).get(0);
    engines.leave(first, departure(Duration.ofMillis(100), true));
    fleet.advance(Duration.ofSeconds(1));
    FleetServer successor = Iterables.getLast(engines.serversOf(RelayFixture.DESK));
    assertThat(successor.server().id()).isEqualTo(first.server().id());
    engines.leave(successor, departure(Duration.ofSeconds(20), false));

    Duration end = fleet.now().plusSeconds(12);
    while (fleet.now().compareTo(end) < 0) {
      fleet.send(0, fleet.newRequest("/order/", Optional.empty(), PromptParts.NONE));
      fleet.advance(TICK);
    }

    ServerNoticeRecord record = engines.record();
    assertThat(record.lateArrivalsAtLeavingServers(Duration.ofSeconds(2))).isEmpty();
    assertThat(record.arrivalsAfterLeavingNotice()).isEmpty();
  }

  private static FleetServer.Departure departure(Duration lifetime, boolean keepsId) {
    return new FleetServer.Departure(
        FleetServer.ListEntry.READY, lifetime.dividedBy(2), lifetime, keepsId);
  }
}
