package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.node.relay.PlainCallReplay.Effect;
import dev.apricotmill.node.relay.PlainCallReplay.Fault;
import dev.apricotmill.node.relay.PlainCallReplay.Result;
import org.junit.jupiter.api.Test;

/**
 * Replays the load for which answers are weighed: 8 and 25 calls a second of 90 nodes to 3 and 5
 * servers. Guards against a choice by answers that is no better than one by open requests.
 */
final class PlainCallReplayTest {

  private static final int NODES = 90;
  private static final int SECONDS = 60;
  private static final int SEEDS = 3;
  private static final double TURN_SECONDS = 1.4;

  @Test
  void fewerCallsRunBadlyBesideAServerThatFailsPartOfItsCalls() {
    assertFewerBadCalls(
        (server, seconds, point) -> server == 0 && point < 0.45 ? Effect.ERROR : Effect.NONE);
  }

  @Test
  void fewerCallsRunBadlyBesideAServerThatResetsAll() {
    assertFewerBadCalls((server, seconds, point) -> server == 0 ? Effect.RESET : Effect.NONE);
  }

  @Test
  void fewerCallsRunBadlyBesideAServerThatAnswersSlowly() {
    assertFewerBadCalls((server, seconds, point) -> server == 0 ? Effect.SLOW : Effect.NONE);
  }

  @Test
  void fewerCallsRunBadlyBesideAServerThatFailsInTurns() {
    assertFewerBadCalls(
        (server, seconds, point) ->
            server == 0 && isFirstTurn(seconds) ? Effect.ERROR : Effect.NONE);
  }

  @Test
  void fewerCallsRunBadlyWhileTwoServersFailByTurns() {
    assertFewerBadCalls(
        (server, seconds, point) ->
            server == (isFirstTurn(seconds) ? 0 : 1) ? Effect.RESET : Effect.NONE);
  }

  @Test
  void fewerCallsRunBadlyWhileTheServersOfAZoneAreGone() {
    assertFewerBadCalls(
        (server, seconds, point) -> server == 0 && seconds < 20 ? Effect.UNREACHABLE : Effect.NONE);
  }

  @Test
  void fewerCallsRunBadlyBesideSeveralKindsOfFaultyServers() {
    assertFewerBadCalls(
        (server, seconds, point) -> {
          if (server == 0) {
            return point < 0.45 ? Effect.ERROR : Effect.NONE;
          }
          return server == 1 ? Effect.RESET : Effect.NONE;
        });
  }

  @Test
  void noCallRunsBadlyWhileAllServersAreGood() {
    for (int servers : new int[] {3, 5}) {
      Result result =
          PlainCallReplay.run(
              1, servers, NODES, 25, SECONDS, true, (server, seconds, point) -> Effect.NONE);
      assertWithMessage("%s", result).that(result.bad()).isEqualTo(0);
    }
  }

  /**
   * Two of three servers fail nearly half of their calls, and the load is more than the third one
   * runs at a time: it must not get all of it.
   */
  @Test
  void theOnlyGoodServerIsNotOverloaded() {
    Fault fault =
        (server, seconds, point) -> server < 2 && point < 0.45 ? Effect.ERROR : Effect.NONE;

    Result weighed = PlainCallReplay.run(1, 3, NODES, 120, SECONDS, true, fault);
    Result byOpenRequests = PlainCallReplay.run(1, 3, NODES, 120, SECONDS, false, fault);

    assertWithMessage("by answers %s, by open requests %s", weighed, byOpenRequests)
        .that(weighed.bad())
        .isLessThan(byOpenRequests.bad());
    assertWithMessage("%s", weighed)
        .that(weighed.mostRunning())
        .isAtMost(PlainCallReplay.SLOTS + PlainCallReplay.QUEUE);
  }

  /** A server that is good again must get a fair part of the calls within seconds. */
  @Test
  void aServerThatGetsWellAgainHasItsShareWithinSeconds() {
    Fault fault =
        (server, seconds, point) -> server == 0 && seconds < 30 ? Effect.RESET : Effect.NONE;
    for (int calls : new int[] {8, 25}) {
      Result until40 = PlainCallReplay.run(1, 3, NODES, calls, 40, true, fault);
      Result until60 = PlainCallReplay.run(1, 3, NODES, calls, 60, true, fault);

      double share =
          (double) (until60.sentByServer().get(0) - until40.sentByServer().get(0))
              / (until60.calls() - until40.calls());
      assertWithMessage("share of %s calls a second", calls).that(share).isAtLeast(0.3);
    }
  }

  private static boolean isFirstTurn(double seconds) {
    return seconds % (2 * TURN_SECONDS) < TURN_SECONDS;
  }

  private static void assertFewerBadCalls(Fault fault) {
    for (int servers : new int[] {3, 5}) {
      for (int calls : new int[] {8, 25}) {
        int weighed = 0;
        int byOpenRequests = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
          weighed += PlainCallReplay.run(seed, servers, NODES, calls, SECONDS, true, fault).bad();
          byOpenRequests +=
              PlainCallReplay.run(seed, servers, NODES, calls, SECONDS, false, fault).bad();
        }
        assertWithMessage("%s servers, %s calls a second", servers, calls)
            .that(weighed)
            .isLessThan(byOpenRequests);
      }
    }
  }
}
