package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

final class HelperReservationsTest {

  private static final long TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE = 600_000;
  private final RelayFixture relay = new RelayFixture(2);

  HelperReservationsTest() {
    relay.setPromptTokens(TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE);
  }

  @Test
  void aPromptLargerThanAnEngineIsSentOnceAllHelpersHaveReservedMemory() {
    RecordedCaller caller = relay.accept("/stream/1");

    assertThat(relay.sent()).hasSize(1);
    assertThat(relay.last().request().helpers()).isNotEmpty();
    assertThat(relay.last().request().helpers().get(0).reservation()).hasValue("r1.1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");
    relay.last().end();
    assertThat(caller.ended()).isTrue();
    assertThat(reservedAndNotReleased()).isEqualTo(0);
  }

  @Test
  void aReservationIsRenewedWhileItsRequestRuns() {
    relay.accept("/stream/1");
    int first = relay.reservationCalls().size();

    relay.time().advance(Duration.ofMillis(1_100));

    assertThat(relay.reservationCalls().size()).isEqualTo(2 * first);
  }

  @Test
  void aReservationIsRenewedLessOftenOnServersThatHaveNamedLimits() {
    relay.accept("/stream/1");
    limitAllServers();
    int first = relay.reservationCalls().size();

    relay.time().advance(Duration.ofMillis(1_100));
    assertThat(relay.reservationCalls()).hasSize(first);
    relay.time().advance(Duration.ofSeconds(1));
    assertThat(relay.reservationCalls().size()).isEqualTo(2 * first);
  }

  @Test
  void noMemoryIsReservedOnServersThatHaveNamedLimits() {
    limitAllServers();
    relay.time().advance(Duration.ofSeconds(2));

    RecordedCaller caller = relay.accept("/stream/1");

    assertThat(relay.reservationCalls()).isEmpty();
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
  }

  private void limitAllServers() {
    relay
        .node()
        .view()
        .serversOf(RelayFixture.POOL)
        .forEach(
            server ->
                relay
                    .node()
                    .onNotice(
                        server, new ServerNotice(false, Optional.empty(), OptionalDouble.of(10))));
    relay.time().runDue();
  }

  @Test
  void aRefusedReservationReleasesAllHelpersAndNothingIsSent() {
    relay.setReserveResult(BackendClient.ReserveResult.REFUSED);

    RecordedCaller caller = relay.accept("/stream/1");

    assertThat(relay.sent()).isEmpty();
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
    assertThat(reservedAndNotReleased()).isEqualTo(0);
  }

  /** An engine without memory was chosen again, and the other helpers reserved for nothing. */
  @Test
  void aHelperThatHasRefusedIsNotAskedAgainForTheSameRequest() {
    relay.setReserveResult(BackendClient.ReserveResult.REFUSED);
    relay.accept("/stream/1");

    List<String> firstRefusals =
        relay.reservationCalls().stream().filter(call -> call.startsWith("reserve")).toList();

    assertThat(firstRefusals).isNotEmpty();
    assertThat(firstRefusals.subList(1, firstRefusals.size())).doesNotContain(firstRefusals.get(0));
  }

  @Test
  void aReservationThatMayStillBeMadeLateIsReleasedRepeatedly() {
    relay.setReserveResult(BackendClient.ReserveResult.UNKNOWN);
    relay.accept("/stream/1");
    relay.time().advance(Duration.ofSeconds(12));
    int before = relay.reservationCalls().size();

    relay.time().advance(Duration.ofSeconds(1));
    assertThat(relay.reservationCalls().size()).isGreaterThan(before);
    relay.time().advance(Duration.ofSeconds(5));
    int after = relay.reservationCalls().size();
    relay.time().advance(Duration.ofSeconds(5));

    assertThat(relay.reservationCalls()).hasSize(after);
  }

  /** Releases of one attempt are repeated; they would free the memory of the next. */
  @Test
  void noTwoAttemptsOfARequestShareAReservation() {
    relay.setReserveResult(BackendClient.ReserveResult.UNKNOWN);
    relay.accept("/stream/1");

    List<String> attempts = relay.releasedReservations().stream().distinct().toList();

    assertThat(attempts).containsExactly("r1.1", "r1.2", "r1.3").inOrder();
  }

  @Test
  void aDisconnectingCallerReleasesTheMemory() {
    RecordedCaller caller = relay.accept("/stream/1");

    caller.disconnect();
    relay.time().runDue();

    assertThat(reservedAndNotReleased()).isEqualTo(0);
  }

  private long reservedAndNotReleased() {
    return relay.reservationCalls().stream().filter(call -> call.startsWith("reserve")).count()
        - relay.reservationCalls().stream().filter(call -> call.startsWith("release")).count();
  }
}
