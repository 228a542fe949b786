package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.coordination.testing.PlatformFault;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** The content of each process of a fleet, and the load on the store. */
final class SharedFollowerTest {

  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

  /** For a fleet of any size: two watches per second in each of three zones. */
  private static final long MAX_READS_PER_SECOND = 6;

  /** 14 Mbit/s, the slowest link of a VM. */
  private static final long SLOW_LINK_BYTES_PER_SECOND = 1_750_000;

  /** A configuration with some 1,800 routes. */
  private static final int LARGE_OBJECT_BYTES = 460_000;

  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(1400);

  private final FollowerFleet fleet = new FollowerFleet();

  @Test
  void aChangeReachesEveryProcessOfALargeFleetWithinASecond() {
    fleet.start(3, 30);
    fleet.advance(SETTLE_TIME);

    fleet.write("a", "1");
    fleet.advance(Duration.ofSeconds(1));

    assertAllHave("a", "1");
  }

  @Test
  void readsOfTheStoreDoNotGrowWithTheFleet() {
    for (int perZone : new int[] {3, 30, 100}) {
      FollowerFleet testedFleet = new FollowerFleet();
      testedFleet.start(3, perZone);
      testedFleet.advance(SETTLE_TIME);
      long from = testedFleet.time().nanoTime();

      testedFleet.advance(SETTLE_TIME);

      assertWithMessage("reads in ten seconds with %s processes a zone", perZone)
          .that(testedFleet.readsSince(from))
          .isAtMost(MAX_READS_PER_SECOND * SETTLE_TIME.toSeconds());
    }
  }

  @Test
  void messagesGrowLinearlyWithTheFleet() {
    FollowerFleet large = new FollowerFleet();
    large.start(3, 100);
    large.advance(SETTLE_TIME);
    long before = large.messages();

    large.advance(SETTLE_TIME);

    double perProcessAndSecond = (large.messages() - before) / 300.0 / SETTLE_TIME.toSeconds();
    // A request and a response for each wait that ends and each renewed validation.
    assertThat(perProcessAndSecond).isAtMost(10.0);
  }

  @Test
  void aBurstOfAHundredChangesCausesFewReads() {
    fleet.start(3, 30);
    fleet.advance(SETTLE_TIME);
    long from = fleet.time().nanoTime();

    for (int i = 0; i < 100; i++) {
      fleet.write("object" + i, "1");
    }
    fleet.advance(Duration.ofSeconds(1));

    assertAllHave("object99", "1");
    // 1.5 s, in which each zone reads once per 0.1 s.
    assertThat(fleet.readsSince(from)).isAtMost(3 * 15);
  }

  /**
   * A response that is still arriving must not be abandoned: its bytes take their share of the link
   * all the same, and the next attempt, which asks for all of it again, is slower.
   */
  @Test
  void changesOfALargeObjectOverSlowLinksReachEveryProcessWithinTheBound() {
    Duration bound = Duration.ofSeconds(4);
    FollowerFleet slowFleet =
        new FollowerFleet(FollowSettings.within(bound), new SplittableRandom(1));
    slowFleet.limitLinks(SLOW_LINK_BYTES_PER_SECOND);
    slowFleet.write("large", largeValue(0));
    slowFleet.start(2, 19);
    slowFleet.advance(SETTLE_TIME);

    for (int change = 1; change <= 20; change++) {
      slowFleet.write("large", largeValue(change));
      slowFleet.advance(CHANGE_INTERVAL);
      int overdue = change - (int) (bound.toMillis() / CHANGE_INTERVAL.toMillis());
      for (FollowerFleet.Follower process : slowFleet.running()) {
        assertWithMessage("the newest change at %s after change %s", process.name(), change)
            .that(changeNumber(process.content().get("things/large")))
            .isAtLeast(overdue);
      }
    }
  }

  private static String largeValue(int change) {
    return change + ":" + "x".repeat(LARGE_OBJECT_BYTES);
  }

  private static int changeNumber(String value) {
    return Integer.parseInt(value.substring(0, value.indexOf(':')));
  }

  /** With many peers in its zone, a process must not ask all of these before another zone. */
  @Test
  void aLargeZoneThatTheStoreTurnsAwayLivesOnTheValidationsOfOthers() {
    fleet.start(3, 30);
    fleet.advance(SETTLE_TIME);
    fleet.namesByRank("z0").forEach(name -> fleet.failStoreFor(name, PlatformFault.UNREACHABLE));
    fleet.advance(SETTLE_TIME);

    fleet.write("a", "1");
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertAllHave("a", "1");
  }

  @Test
  void theLossOfAnyReaderDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.kill(reader));
  }

  @Test
  void anUnreachableReaderDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.partition(reader));
  }

  @Test
  void aPausedReaderDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.process(reader).pause());
  }

  @Test
  void aReaderWhoseStoreRequestsAreLostDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.failStoreFor(reader, PlatformFault.REQUEST_LOST));
  }

  @Test
  void aReaderThatTheStoreRefusesDelaysNoChangeBeyondTheBound() {
    assertBoundHoldsAfter(reader -> fleet.failStoreFor(reader, PlatformFault.OUT_OF_SERVICE));
  }

  /** The bound is the time within which a new configuration must be applied. */
  private void assertBoundHoldsAfter(Consumer<String> fault) {
    fleet.start(3, 9);
    fleet.write("a", "0");
    fleet.advance(SETTLE_TIME);
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
  void aProcessThatTheStoreRefusesStaysFreshThroughItsPeers() {
    fleet.start(3, 4);
    fleet.advance(SETTLE_TIME);

    for (FollowerFleet.Follower process : fleet.running()) {
      fleet.store().heal();
      fleet.failStoreFor(process.name(), PlatformFault.RATE_LIMITED);
      for (int i = 0; i < 100; i++) {
        fleet.advance(Duration.ofMillis(100));
        assertWithMessage("staleness at %s", process.name())
            .that(process.staleness())
            .isAtMost(FollowerFleet.MAX_STALENESS);
      }
    }
  }

  @Test
  void aZoneThatTheStoreRefusesStaysFreshThroughOtherZones() {
    fleet.start(3, 4);
    fleet.write("a", "1");
    fleet.advance(SETTLE_TIME);

    fleet.namesByRank("z0").forEach(name -> fleet.failStoreFor(name, PlatformFault.OUT_OF_SERVICE));
    fleet.advance(Duration.ofSeconds(5));
    fleet.write("a", "2");
    fleet.advance(Duration.ofSeconds(3));

    assertAllHave("a", "2");
    for (FollowerFleet.Follower process : fleet.running()) {
      assertThat(process.staleness()).isAtMost(Duration.ofMillis(4600));
    }
  }

  @Test
  void aProcessThatCannotReachAnyPeerReadsTheStore() {
    fleet.start(2, 5);
    fleet.advance(SETTLE_TIME);
    String last = fleet.namesByRank("z0").get(4);

    fleet.partition(last);
    fleet.advance(SETTLE_TIME);
    fleet.write("a", "1");
    fleet.advance(FollowerFleet.MAX_STALENESS);

    assertThat(fleet.process(last).content()).containsEntry("things/a", "1");
  }

  @Test
  void aRemovedObjectDoesNotReappearAfterARestartNextToPeersThatAreBehind() {
    fleet.start(1, 4);
    fleet.write("server", "ready");
    fleet.advance(SETTLE_TIME);
    // The requests of all but the last to the store are lost, so they keep the removed object.
    String last = fleet.namesByRank("z0").get(3);
    fleet.namesByRank("z0").stream()
        .filter(name -> !name.equals(last))
        .forEach(name -> fleet.failStoreFor(name, PlatformFault.REQUEST_LOST));
    fleet.partition(last);
    fleet.advance(SETTLE_TIME);
    fleet.remove("server");
    fleet.advance(SETTLE_TIME);
    assertThat(fleet.process(last).content()).isEmpty();
    fleet.healNetwork();
    fleet.failStoreFor(last, PlatformFault.REQUEST_LOST);

    FollowerFleet.Follower restarted = fleet.restart(last);
    for (int i = 0; i < 100; i++) {
      fleet.advance(Duration.ofMillis(100));
      assertThat(restarted.content()).isEmpty();
    }
    fleet.store().heal();
    fleet.advance(SETTLE_TIME);

    fleet.running().forEach(process -> assertThat(process.content()).isEmpty());
  }

  @Test
  void theRecoveryOfTheStoreCausesNoThunderingHerd() {
    fleet.start(3, 30);
    fleet.advance(SETTLE_TIME);
    fleet.store().fail(PlatformFault.OUT_OF_SERVICE);
    fleet.advance(SETTLE_TIME);
    long outageStart = fleet.time().nanoTime();
    fleet.advance(SETTLE_TIME);
    long readsDuringOutage = fleet.readsSince(outageStart);
    fleet.store().heal();
    fleet.write("a", "1");
    long from = fleet.time().nanoTime();

    fleet.advance(Duration.ofSeconds(1));

    assertThat(readsDuringOutage).isAtMost(90 * SETTLE_TIME.toSeconds() / 2);
    assertThat(fleet.readsSince(from)).isAtMost(90);
    fleet.advance(FollowerFleet.MAX_STALENESS);
    assertAllHave("a", "1");
  }

  @Test
  void aFleetThatStartsAtOnceCausesFewReads() {
    fleet.write("a", "1");
    fleet.start(3, 30);

    fleet.advance(Duration.ofSeconds(3));

    assertAllHave("a", "1");
    assertThat(fleet.readsSince(0)).isAtMost(90 / 2);
  }

  @Test
  void aValidationFromAPeerIsNeverLaterThanTheReadThatItDependsOn() {
    fleet.start(1, 9);
    fleet.advance(SETTLE_TIME);
    for (String name : fleet.namesByRank("z0")) {
      fleet.failStoreFor(name, PlatformFault.REQUEST_LOST);
    }
    long faultStart = fleet.time().nanoTime();

    fleet.advance(SETTLE_TIME);

    for (FollowerFleet.Follower process : fleet.running()) {
      assertThat(process.validatedAt().orElseThrow().monotonicNanos()).isAtMost(faultStart);
    }
  }

  private void assertAllHave(String name, String value) {
    for (FollowerFleet.Follower process : fleet.running()) {
      assertWithMessage("what %s knows", process.name())
          .that(process.content())
          .containsEntry("things/" + name, value);
      assertThat(process.violations()).isEmpty();
    }
  }
}
