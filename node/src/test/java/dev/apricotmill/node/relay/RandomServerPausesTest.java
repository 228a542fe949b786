package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that nothing reaches a paused server, whatever servers and callers do meanwhile. */
final class RandomServerPausesTest {

  private static final int STEPS = 48_000;
  private static final Duration STEP = Duration.ofMillis(5);
  private static final List<String> PATHS = List.of("/read/", "/order/", "/stream/", "/once/");
  private static final long SHORT_PROMPT_TOKENS = 5_000;
  private static final long TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE = 600_000;
  private static final int MAX_PAUSE_MILLIS = 1_500;

  private final RelayFixture relay = new RelayFixture(10_000);
  private final Map<String, Long> pausedUntilNanos = new HashMap<>();
  private int checkedSends;
  private int checkedReservations;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void noRequestReachesAPausedServer(long seed) {
    run(seed, SHORT_PROMPT_TOKENS, 4);

    assertThat(checkedSends).isGreaterThan(1_000);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void noReservationReachesAPausedHelper(long seed) {
    run(seed, TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE, 40);

    assertThat(checkedReservations).isGreaterThan(20);
  }

  private void run(long seed, long promptTokens, int stepsPerRequest) {
    SplittableRandom random = new SplittableRandom(seed);
    relay.setPromptTokens(promptTokens);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(stepsPerRequest) == 0) {
        String path = PATHS.get(random.nextInt(PATHS.size())) + step;
        relay.accept("r" + step, path, OptionalLong.empty());
        checkNewRequests(seed);
      }
      if (!relay.sent().isEmpty() && random.nextInt(stepsPerRequest) < 4) {
        int recent = Math.min(relay.sent().size(), 12);
        respond(relay.sent().get(relay.sent().size() - 1 - random.nextInt(recent)), random);
        checkNewRequests(seed);
      }
      if (random.nextInt(400) == 0) {
        pauseAnyServer(random);
      }
      relay.time().advance(STEP);
      relay.node().update(view -> view.withValidation(Optional.of(relay.validatedNow())));
      checkNewRequests(seed);
    }
  }

  private void respond(SentExchange exchange, SplittableRandom random) {
    if (exchange.cancelled()) {
      return;
    }
    switch (random.nextInt(20)) {
      case 0 -> {
        Duration pause = pause(random);
        note(exchange.request().server(), pause);
        exchange.refuse(pause);
      }
      case 1 -> exchange.fail(true);
      case 2 -> exchange.fail(false);
      case 3, 4, 5, 6, 7 -> {
        exchange.head(200, false);
        exchange.body("id: " + (exchange.request().resumeAfterEvent().orElse(0) + 1) + "\n\n");
      }
      default -> {
        exchange.head(200, false);
        exchange.end();
      }
    }
  }

  /** Pauses a server by its response to a request that the test does not know of. */
  private void pauseAnyServer(SplittableRandom random) {
    List<BackendServer> servers =
        relay.node().view().servers().orElseThrow().serversById().values().asList();
    BackendServer server = servers.get(random.nextInt(servers.size()));
    Duration pause = pause(random);
    note(server, pause);
    relay.node().onNotice(server, new ServerNotice(false, Optional.of(pause)));
    relay.time().runDue();
  }

  private static Duration pause(SplittableRandom random) {
    return Duration.ofMillis(1 + random.nextInt(MAX_PAUSE_MILLIS));
  }

  private void note(BackendServer server, Duration pause) {
    pausedUntilNanos.merge(
        server.id().value(), relay.timing().nanoTime() + pause.toNanos(), Math::max);
  }

  private void checkNewRequests(long seed) {
    for (; checkedSends < relay.sent().size(); checkedSends++) {
      checkNotPaused(
          seed, relay.sent().get(checkedSends).request().server().id().value(), "a request");
    }
    for (; checkedReservations < relay.reservationCalls().size(); checkedReservations++) {
      String call = relay.reservationCalls().get(checkedReservations);
      if (call.startsWith("reserve ")) {
        checkNotPaused(seed, call.substring("reserve ".length()), "a reservation");
      }
    }
  }

  private void checkNotPaused(long seed, String server, String what) {
    assertWithMessage("seed %s: %s reached %s during its pause", seed, what, server)
        .that(pausedUntilNanos.getOrDefault(server, 0L))
        .isAtMost(relay.timing().nanoTime());
  }
}
