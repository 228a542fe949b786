package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.coordination.testing.PlatformFault;
import java.time.Duration;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** What each process of a fleet knows, and what that costs the store. */
final class SharedFollowerTest {

  private static final Duration CALM = Duration.ofSeconds(10);

  /** Of a fleet of any size, at three zones and two watches a second for each. */
  private static final long MOST_READS_A_SECOND = 6;

  private final FollowerFleet fleet = new FollowerFleet();

  @Test
  void aChangeReachesEveryProcessOfALargeFleetWithinASecond() {
    fleet.start(3, 30);
    fleet.advance(CALM);

    fleet.write("a", "1");
    fleet.advance(Duration.ofSeconds(1));

    assertEverybodyHas("a", "1");
  }

  @Test
  void readsOfTheStoreDoNotGrowWithTheFleet() {
    for (int perZone : new int[] {3, 30, 100}) {
      FollowerFleet grown = new FollowerFleet();
      grown.start(3, perZone);
      grown.advance(CALM);
      long from = grown.time().nanoTime();

      grown.advance(CALM);

      assertWithMessage("reads in ten seconds with %s processes a zone", perZone)
          .that(grown.readsSince(from))
          .isAtMost(MOST_READS_A_SECOND * CALM.toSeconds());
    }
  }

  @Test
  void messagesGrowInLineWithTheFleet() {
    FollowerFleet large = new FollowerFleet();
    large.start(3, 100);
    large.advance(CALM);
    long before = large.messages();

    large.advance(CALM);

    double perProcessAndSecond = (large.messages() - before) / 300.0 / CALM.toSeconds();
    // A question and its answer for each wait that runs out and each proof that is renewed.
    assertThat(perProcessAndSecond).isAtMost(10.0);
  }

  @Test
  void aHundredChangesCloseTogetherCostFewReads() {
    fleet.start(3, 30);
    fleet.advance(CALM);
    long from = fleet.time().nanoTime();

    for (int i = 0; i < 100; i++) {
      fleet.write("object" + i, "1");
    }
    fleet.advance(Duration.ofSeconds(1));

    assertEverybodyHas("object99", "1");
    // One and a half seconds, in which each zone reads once in each tenth.
    assertThat(fleet.readsSince(from)).isAtMost(3 * 15);
  }

  @Test
  void theLossOfAnyReaderDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.kill(reader));
  }

  @Test
  void aReaderThatOthersCannotReachDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.partition(reader));
  }

  @Test
  void aReaderThatIsFrozenDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.process(reader).pause());
  }

  @Test
  void aReaderWhoseStoreIsSilentDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.failStoreFor(reader, PlatformFault.REQUEST_LOST));
  }

  @Test
  void aReaderThatTheStoreTurnsAwayDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.failStoreFor(reader, PlatformFault.OUT_OF_SERVICE));
  }

  /** The bound is that in which a configuration must be in force. */
  private void assertBoundHoldsAfter(Consumer<String> fault) {
    fleet.start(3, 9);
    fleet.write("a", "0");
    fleet.advance(CALM);
    String reader = fleet.namesByRank("z0").get(0);

    fault.accept(reader);
    for (int change = 1; change <= 10; change++) {
      fleet.write("a", "" + change);
      fleet.advance(FollowerFleet.MAX_STALENESS);
      for (FollowerFleet.Follower process : fleet.running()) {
        if (!process.name().equals(reader)) {
          assertWithMessage("change %s at %s", change, process.name())
              .that(process.content())
              .containsEntry("things/a", "" + change);
        }
      }
      fleet.advance(Duration.ofMillis(130));
    }
  }

  @Test
  void aProcessThatTheStoreTurnsAwayLivesOnTheProofsOfItsPeers() {
    fleet.start(3, 4);
    fleet.advance(CALM);

    for (FollowerFleet.Follower process : fleet.running()) {
      fleet.store().heal();
      fleet.failStoreFor(process.name(), PlatformFault.RATE_LIMITED);
      for (int i = 0; i < 100; i++) {
        fleet.advance(Duration.ofMillis(100));
        assertWithMessage("age of the proof at %s", process.name())
            .that(process.staleness())
            .isAtMost(FollowerFleet.MAX_STALENESS);
      }
    }
  }

  @Test
  void aZoneThatTheStoreTurnsAwayLivesOnTheProofsOfOtherZones() {
    fleet.start(3, 4);
    fleet.write("a", "1");
    fleet.advance(CALM);

    fleet.namesByRank("z0").forEach(name -> fleet.failStoreFor(name, PlatformFault.OUT_OF_SERVICE));
    fleet.advance(Duration.ofSeconds(5));
    fleet.write("a", "2");
    fleet.advance(Duration.ofSeconds(3));

    assertEverybodyHas("a", "2");
    for (FollowerFleet.Follower process : fleet.running()) {
      assertThat(process.staleness()).isAtMost(Duration.ofMillis(4600));
    }
  }

  @Test
  void aProcessThatReachesNoPeerReadsTheStore() {
    fleet.start(2, 5);
    fleet.advance(CALM);
    String last = fleet.namesByRank("z0").get(4);

    fleet.partition(last);
    fleet.advance(CALM);
    fleet.write("a", "1");
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertThat(fleet.process(last).content()).containsEntry("things/a", "1");
  }

  @Test
  void whatWasRemovedIsNotInUseAgainAfterARestartBesidePeersThatAreBehind() {
    fleet.start(1, 4);
    fleet.write("server", "ready");
    fleet.advance(CALM);
    // All but the last are cut from the store, and know the server as it was.
    String last = fleet.namesByRank("z0").get(3);
    fleet.namesByRank("z0").stream()
        .filter(name -> !name.equals(last))
        .forEach(name -> fleet.failStoreFor(name, PlatformFault.REQUEST_LOST));
    fleet.partition(last);
    fleet.advance(CALM);
    fleet.remove("server");
    fleet.advance(CALM);
    assertThat(fleet.process(last).content()).isEmpty();
    fleet.healNetwork();
    fleet.failStoreFor(last, PlatformFault.REQUEST_LOST);

    FollowerFleet.Follower again = fleet.restart(last);
    for (int i = 0; i < 100; i++) {
      fleet.advance(Duration.ofMillis(100));
      assertThat(again.content()).isEmpty();
    }
    fleet.store().heal();
    fleet.advance(CALM);

    fleet.running().forEach(process -> assertThat(process.content()).isEmpty());
  }

  @Test
  void theReturnOfTheStoreBringsNoHerd() {
    fleet.start(3, 30);
    fleet.advance(CALM);
    fleet.store().fail(PlatformFault.OUT_OF_SERVICE);
    fleet.advance(CALM);
    long down = fleet.time().nanoTime();
    fleet.advance(CALM);
    long during = fleet.readsSince(down);
    fleet.store().heal();
    fleet.write("a", "1");
    long from = fleet.time().nanoTime();

    fleet.advance(Duration.ofSeconds(1));

    assertThat(during).isAtMost(90 * CALM.toSeconds() / 2);
    assertThat(fleet.readsSince(from)).isAtMost(90);
    fleet.advance(FollowerFleet.MAX_STALENESS);
    assertEverybodyHas("a", "1");
  }

  @Test
  void aWholeFleetThatStartsAtOnceReadsLittle() {
    fleet.write("a", "1");
    fleet.start(3, 30);

    fleet.advance(Duration.ofSeconds(3));

    assertEverybodyHas("a", "1");
    assertThat(fleet.readsSince(0)).isAtMost(90 / 2);
  }

  @Test
  void aProofFromAPeerIsNeverYoungerThanTheReadThatItRestsOn() {
    fleet.start(1, 9);
    fleet.advance(CALM);
    for (String name : fleet.namesByRank("z0")) {
      fleet.failStoreFor(name, PlatformFault.REQUEST_LOST);
    }
    long silent = fleet.time().nanoTime();

    fleet.advance(CALM);

    for (FollowerFleet.Follower process : fleet.running()) {
      assertThat(process.validatedAt().orElseThrow().monotonicNanos()).isAtMost(silent);
    }
  }

  private void assertEverybodyHas(String name, String value) {
    for (FollowerFleet.Follower process : fleet.running()) {
      assertWithMessage("what %s knows", process.name())
          .that(process.content())
          .containsEntry("things/" + name, value);
      assertThat(process.violations()).isEmpty();
    }
  }
}
