package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class PartReservationsTest {

  private static final long MORE_THAN_ONE_ENGINE_HOLDS = 600_000;
  private final RelayFixture relay = new RelayFixture(2);

  PartReservationsTest() {
    relay.setPromptTokens(MORE_THAN_ONE_ENGINE_HOLDS);
  }

  @Test
  void aPromptLargerThanAnEngineIsSentOnceItsPartsAreReserved() {
    RecordedCaller caller = relay.accept("/stream/1");

    assertThat(relay.sent()).hasSize(1);
    assertThat(relay.last().send().helpers()).isNotEmpty();
    assertThat(relay.last().send().helpers().get(0).reservation()).hasValue("r1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");
    relay.last().end();
    assertThat(caller.ended()).isTrue();
    assertThat(reservedAndNotReleased()).isEqualTo(0);
  }

  @Test
  void aReservationIsProlongedWhileItsRequestRuns() {
    relay.accept("/stream/1");
    int first = relay.orders().size();

    relay.time().advance(Duration.ofMillis(1_100));

    assertThat(relay.orders().size()).isEqualTo(2 * first);
  }

  @Test
  void aRefusedReservationGivesAllPartsBackAndNothingIsSent() {
    relay.setReserveResult(BackendPort.ReserveResult.REFUSED);

    RecordedCaller caller = relay.accept("/stream/1");

    assertThat(relay.sent()).isEmpty();
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
    assertThat(reservedAndNotReleased()).isEqualTo(0);
  }

  @Test
  void aReservationThatMayBeMadeLateIsReleasedUntilItCannotBe() {
    relay.setReserveResult(BackendPort.ReserveResult.UNKNOWN);
    relay.accept("/stream/1");
    relay.time().advance(Duration.ofSeconds(12));
    int before = relay.orders().size();

    relay.time().advance(Duration.ofSeconds(1));
    assertThat(relay.orders().size()).isGreaterThan(before);
    relay.time().advance(Duration.ofSeconds(5));
    int after = relay.orders().size();
    relay.time().advance(Duration.ofSeconds(5));

    assertThat(relay.orders()).hasSize(after);
  }

  @Test
  void theGoingOfACallerGivesTheMemoryBack() {
    RecordedCaller caller = relay.accept("/stream/1");

    caller.leave();
    relay.time().runDue();

    assertThat(reservedAndNotReleased()).isEqualTo(0);
  }

  private long reservedAndNotReleased() {
    return relay.orders().stream().filter(order -> order.startsWith("reserve")).count()
        - relay.orders().stream().filter(order -> order.startsWith("release")).count();
  }
}
