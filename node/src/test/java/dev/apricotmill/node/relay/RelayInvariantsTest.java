package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.RetryPolicy;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import dev.apricotmill.node.relay.ScriptedResponse.Step;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guarantees that hold for every request and every order of events of servers, callers and timers.
 *
 * <p>Each number of a sequence encodes one step: it selects a request and an event of one of its
 * open attempts.
 */
final class RelayInvariantsTest {

  private static final int RETRY_RESERVE = 3;
  private static final List<String> PATHS = List.of("/order/1", "/read/1", "/stream/1", "/once/1");
  private static final List<Integer> STATUSES_THAT_MEAN_NOT_RUN = List.of(408, 421, 429, 503);
  private static final Duration LONGER_THAN_ANY_TIMEOUT = Duration.ofSeconds(30);

  private final RelayFixture relay = new RelayFixture(RETRY_RESERVE);
  private final Map<SentExchange, ScriptedResponse> responses = new LinkedHashMap<>();
  private final List<Call> calls = new ArrayList<>();

  /**
   * A request of the sequence.
   *
   * @param id its identifier
   * @param path its path, which begins with the name of its route
   * @param caller its caller
   */
  private record Call(String id, String path, RecordedCaller caller) {

    String route() {
      return path.split("/", -1)[1];
    }
  }

  @Property(tries = 2_000)
  void guaranteesHoldForEveryOrderOfEvents(
      @ForAll @Size(min = 1, max = 4) List<@IntRange(max = 3) Integer> routes,
      @ForAll @Size(max = 60) List<@IntRange(max = 9_999) Integer> steps) {
    RelayInvariantsTest sequence = new RelayInvariantsTest();
    for (int i = 0; i < routes.size(); i++) {
      sequence.accept("r" + i, PATHS.get(routes.get(i)));
    }
    steps.forEach(sequence::step);
    sequence.relay.time().advance(LONGER_THAN_ANY_TIMEOUT);
    sequence.checkAll();
  }

  private void accept(String id, String path) {
    calls.add(new Call(id, path, relay.accept(id, path, OptionalLong.empty())));
  }

  private void step(int number) {
    Call call = calls.get(number % calls.size());
    int choice = number / calls.size();
    Step[] all = Step.values();
    Step step = all[choice % all.length];
    switch (step) {
      case TIME_PASSES -> relay.time().advance(Duration.ofMillis(choice % 900));
      case CALLER_DISCONNECTS -> {
        if (choice % 5 == 0) {
          call.caller().disconnect();
          relay.time().runDue();
        }
      }
      case CALLER_READS -> call.caller().readChunks(1);
      default ->
          openAttempt(call, choice / all.length)
              .ifPresent(exchange -> responseOf(exchange, call).apply(step));
    }
  }

  /** Returns one of the attempts that have not ended; an earlier one may be silent meanwhile. */
  private Optional<SentExchange> openAttempt(Call call, int number) {
    List<SentExchange> open =
        attemptsOf(call).stream()
            .filter(sent -> !sent.cancelled() && !responseOf(sent, call).hasEnded())
            .toList();
    return open.isEmpty() ? Optional.empty() : Optional.of(open.get(number % open.size()));
  }

  private ScriptedResponse responseOf(SentExchange exchange, Call call) {
    return responses.computeIfAbsent(exchange, key -> new ScriptedResponse(key, isStream(call)));
  }

  private List<SentExchange> attemptsOf(Call call) {
    return relay.sent().stream()
        .filter(sent -> sent.request().request().id().value().equals(call.id()))
        .toList();
  }

  /** Returns the attempts that may have been sent and that no server has refused as not run. */
  private List<SentExchange> attemptsThatMayHaveRun(Call call) {
    return attemptsOf(call).stream()
        .filter(sent -> !responseOf(sent, call).isKnownNotRun())
        .toList();
  }

  private void checkAll() {
    calls.forEach(this::checkCall);
    assertThat(relay.node().openRequests()).isEqualTo(0);
    assertWithMessage("requests left in the scheduler").that(relay.placedCount()).isEqualTo(0);
    calls.forEach(call -> call.caller().readChunks(1));
    assertWithMessage("bytes left in buffers").that(relay.bufferedBytes()).isEqualTo(0);
    checkBudget(true);
    checkBudget(false);
  }

  /** Each service has its own retry reserve; streams go to one of the two services. */
  private void checkBudget(boolean streamed) {
    long retries =
        calls.stream()
            .filter(call -> isStream(call) == streamed)
            .mapToLong(call -> Math.max(0, countPossiblySent(call) - 1))
            .sum();
    assertWithMessage("attempts beyond the first of each request")
        .that(retries)
        .isAtMost(RETRY_RESERVE);
  }

  /** Returns how many attempts of a request may have been sent. */
  private long countPossiblySent(Call call) {
    return attemptsOf(call).stream().filter(sent -> !responseOf(sent, call).neverSent()).count();
  }

  private void checkCall(Call call) {
    RecordedCaller caller = call.caller();
    assertWithMessage("final responses")
        .that(caller.finalResponses())
        .isEqualTo(caller.hasDisconnected() ? 0 : 1);
    Route route = RelayFixture.configuration(1).routes().find("host", call.path()).orElseThrow();
    if (route.retryPolicy() == RetryPolicy.AT_MOST_ONCE) {
      assertWithMessage("runs").that(attemptsThatMayHaveRun(call).size()).isAtMost(1);
    }
    assertWithMessage("servers").that(countPossiblySent(call)).isAtMost(route.maximumAttempts());
    if (isToldNotRun(caller)) {
      assertWithMessage("attempts that may have run a request refused as not run")
          .that(attemptsThatMayHaveRun(call))
          .isEmpty();
    }
    for (SentExchange sent : attemptsOf(call)) {
      assertWithMessage("an attempt without an end is cancelled")
          .that(sent.cancelled() || responseOf(sent, call).hasEnded())
          .isTrue();
    }
    if (caller.ended() && caller.status() == 200) {
      assertThat(caller.body()).isEqualTo(ScriptedResponse.completeBody(isStream(call)));
    } else {
      assertThat(ScriptedResponse.completeBody(isStream(call))).startsWith(prefixOf(caller));
    }
  }

  /** Returns whether the caller was told that its request did not run, by whichever path. */
  private static boolean isToldNotRun(RecordedCaller caller) {
    RelayRefusal refusal = caller.refusal();
    return refusal == null
        ? STATUSES_THAT_MEAN_NOT_RUN.contains(caller.status())
        : refusal.guaranteesNotRun();
  }

  private static boolean isStream(Call call) {
    return call.route().equals("stream") || call.route().equals("once");
  }

  private static String prefixOf(RecordedCaller caller) {
    return caller.status() == 200 ? caller.body() : "";
  }
}
