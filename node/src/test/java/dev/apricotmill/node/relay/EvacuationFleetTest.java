package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.testing.FakePlatform;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against requests to an evacuated zone by any of several nodes while parts fail. */
final class EvacuationFleetTest {

  private static final Duration LONG = Duration.ofSeconds(12);
  private static final String ZONE = "b";

  private final EvacuationFleet fleet = new EvacuationFleet(new SplittableRandom(7));

  EvacuationFleetTest() {
    fleet.serve(Duration.ofSeconds(2));
    assertThat(fleet.sends(ZONE)).isGreaterThan(0);
  }

  @Test
  void allNodesStopSendingToAnEvacuatedZoneAndReturnAfterIt() {
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);
    fleet.serve(LONG);
    assertThat(fleet.sends(ZONE)).isEqualTo(before);

    fleet.endEvacuation(ZONE);
    fleet.serve(EvacuationFleet.BOUND);

    assertThat(fleet.sends(ZONE)).isGreaterThan(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void anEvacuationThatIsSetAgainWithinSecondsOfItsRemovalIsInForceAgain() {
    for (Duration pause : List.of(Duration.ZERO, Duration.ofMillis(300), Duration.ofSeconds(3))) {
      fleet.evacuate(ZONE);
      fleet.serve(LONG);
      fleet.endEvacuation(ZONE);
      fleet.serve(pause);
    }
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);
    fleet.serve(LONG);

    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void anEvacuationThatIsSetWhileItsZoneIsCutOffIsInForceOnBothSidesAfterTheCut() {
    fleet.cutOff(ZONE, LONG);
    fleet.serve(Duration.ofSeconds(1));
    fleet.evacuate(ZONE);
    fleet.serve(LONG.plus(EvacuationFleet.BOUND));
    int before = fleet.sends(ZONE);
    fleet.serve(LONG);

    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  /** A zone that is cut off keeps what it knew, though nobody confirms it. */
  @Test
  void aZoneThatIsCutOffDuringAnEvacuationSendsNothingToItself() {
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);

    fleet.cutOff(ZONE, LONG);
    fleet.serve(LONG);

    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  /** One of each zone, so that the reader of each zone is turned away in some of the runs. */
  @Test
  void nodesThatTheStoreTurnsAwayLearnOfAnEvacuationWithinTheBound() {
    for (int i = 0; i < 3; i++) {
      String digit = Integer.toString(i);
      List<String> third = fleet.nodeNames().stream().filter(name -> name.endsWith(digit)).toList();
      fleet.turnAway(third, Duration.ofMinutes(1));
      fleet.serve(Duration.ofSeconds(2));

      fleet.evacuate(ZONE);
      fleet.serve(EvacuationFleet.BOUND);
      int before = fleet.sends(ZONE);
      fleet.serve(LONG);

      assertThat(fleet.sends(ZONE)).isEqualTo(before);
      fleet.endEvacuation(ZONE);
      fleet.advance(Duration.ofMinutes(1));
    }
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void aNodeThatStartsDuringAnEvacuationNeverSendsToTheZone() {
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);

    for (String name : fleet.nodeNames()) {
      fleet.restart(name);
      fleet.serve(Duration.ofMillis(300));
    }

    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void aNodeThatStartsWhileTheStoreTurnsItAwayIsReadyByAPeersEvacuations() {
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);
    fleet.turnAway(List.of("b1"), Duration.ofMinutes(1));

    EvacuationNode restarted = fleet.restart("b1");
    assertThat(restarted.isReady()).isFalse();
    fleet.serve(EvacuationFleet.BOUND);

    assertThat(restarted.isReady()).isTrue();
    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void aNodeThatStartsWithoutStoreAndPeersSendsNothing() {
    fleet.loseStore(LONG);
    fleet.cutOff("a", LONG);
    fleet.cutOff("b", LONG);
    fleet.cutOff("c", LONG);
    fleet.nodeNames().forEach(fleet::restart);
    int before = EvacuationFleet.ZONES.stream().mapToInt(fleet::sends).sum();

    fleet.serve(LONG.minusSeconds(1));

    assertThat(EvacuationFleet.ZONES.stream().mapToInt(fleet::sends).sum()).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void anEvacuationThatIsWrittenAgainAfterARestoreIsNeverInterrupted() {
    FakePlatform.Copy copy = fleet.store().copy();
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);

    fleet.restore(copy);
    fleet.serve(Duration.ofMillis(1_500));
    fleet.evacuate(ZONE);
    fleet.serve(LONG);

    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void anEvacuationThatIsNotWrittenAgainAfterARestoreEnds() {
    FakePlatform.Copy copy = fleet.store().copy();
    fleet.evacuate(ZONE);
    fleet.serve(EvacuationFleet.BOUND);
    int before = fleet.sends(ZONE);

    fleet.restore(copy);
    fleet.serve(RestoredServerList.REWRITE_TIME.minusMillis(100));
    assertThat(fleet.sends(ZONE)).isEqualTo(before);

    fleet.serve(EvacuationFleet.BOUND);
    assertThat(fleet.sends(ZONE)).isGreaterThan(before);
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void aNodeThatResumesAfterAFreezeStopsSendingWithinTheBound() {
    fleet.freeze("a1", LONG);
    fleet.evacuate(ZONE);
    fleet.serve(LONG.plus(EvacuationFleet.BOUND));
    int before = fleet.sends(ZONE);
    fleet.serve(LONG);

    assertThat(fleet.sends(ZONE)).isEqualTo(before);
    assertThat(fleet.violations()).isEmpty();
  }
}
