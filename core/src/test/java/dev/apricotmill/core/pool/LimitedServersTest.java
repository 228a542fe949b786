package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LimitedServersTest {

  private static final BackendServer SERVER = server("s", 1_000);
  private static final LimitedServers.Instance INSTANCE = LimitedServers.Instance.of(SERVER);

  private final LimitedServers limits = new LimitedServers();

  private static BackendServer server(String id, long startedMillis) {
    return new BackendServer(
        new ReplicaId(id),
        new ServiceName("pool"),
        new PeerAddress("10.0.0.1", 80),
        new Zone("a"),
        4,
        true,
        startedMillis);
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void name(double requestsPerSecond, long atMillis) {
    limits.name(INSTANCE, requestsPerSecond, millis(atMillis), millis(atMillis));
  }

  private boolean isFree(long atMillis) {
    return limits.timeUntilFree(SERVER, millis(atMillis)).isZero();
  }

  @ParameterizedTest
  @CsvSource({"0.25, 1, 3", "1, 1, 11", "1.5, 1, 16", "1, 0.5, 6", "10, 1, 103", "10, 0.5, 52"})
  void requestsAreGrantedAtTheShareOfTheLimitAndFromNothing(
      double requestsPerSecond, double share, int granted) {
    name(requestsPerSecond, 0);
    int count = 0;
    for (int now = 0; now <= 10_000; now++) {
      while (isFree(now)) {
        limits.take(SERVER, share, millis(now));
        count++;
      }
    }

    assertThat(count).isAtMost(granted);
    assertThat(count).isAtLeast((int) (requestsPerSecond * share * 10) - 1);
  }

  @Test
  void aServerWithoutALimitIsFree() {
    assertThat(isFree(0)).isTrue();
    assertThat(limits.requestsPerSecond(INSTANCE)).isEqualTo(OptionalDouble.empty());
  }

  @Test
  void aLimitOfZeroLetsARequestThroughNowAndThen() {
    name(0, 0);

    assertThat(isFree(59_000)).isFalse();
    assertThat(isFree(60_000)).isTrue();
  }

  @Test
  void aResponseWithoutALimitEndsItIfItsRequestWasSentWellAfterTheLimitWasNamed() {
    name(1, 0);

    assertThat(limits.respondWithout(INSTANCE, millis(999))).isFalse();
    assertThat(limits.respondWithout(INSTANCE, millis(1_000))).isTrue();
    assertThat(limits.isEmpty()).isTrue();
  }

  @Test
  void aLimitThatWasNamedBeforeItEndedDoesNotReturn() {
    name(1, 0);
    limits.respondWithout(INSTANCE, millis(5_000));

    assertThat(limits.name(INSTANCE, 1, millis(4_900), millis(5_200))).isFalse();
    assertThat(limits.isEmpty()).isTrue();
    assertThat(limits.name(INSTANCE, 1, millis(5_100), millis(5_200))).isTrue();
  }

  @Test
  void aLateReportOfAnEarlierLimitDoesNotReplaceALaterOne() {
    name(4, 0);
    name(1, 5_000);

    assertThat(limits.name(INSTANCE, 4, millis(3_000), millis(5_200))).isFalse();
    assertThat(limits.requestsPerSecond(INSTANCE)).isEqualTo(OptionalDouble.of(1));
    assertThat(limits.name(INSTANCE, 2, millis(5_100), millis(5_200))).isTrue();
    assertThat(limits.requestsPerSecond(INSTANCE)).isEqualTo(OptionalDouble.of(2));
  }

  @Test
  void anEarlierInstanceChangesNothingAndALaterOneBeginsAnew() {
    BackendServer successor = server("s", 2_000);
    limits.name(LimitedServers.Instance.of(successor), 1, 0, 0);
    name(5, 10);

    assertThat(limits.timeUntilFree(SERVER, millis(10))).isEqualTo(Duration.ZERO);
    assertThat(limits.requestsPerSecond(LimitedServers.Instance.of(successor)))
        .isEqualTo(OptionalDouble.of(1));
  }

  @Test
  void theLimitOfAServerThatIsGoneIsForgotten() {
    name(1, 0);
    long end = LimitedServers.MAX_ABSENCE.toNanos();
    limits.forgetAbsent(ImmutableSet.of(INSTANCE), end);
    assertThat(limits.isEmpty()).isFalse();
    limits.forgetAbsent(ImmutableSet.of(), end - 1);
    assertThat(limits.isEmpty()).isFalse();
    limits.forgetAbsent(ImmutableSet.of(), end);
    assertThat(limits.isEmpty()).isTrue();
  }

  @Test
  void atMostAFixedNumberOfLimitsIsKept() {
    for (int i = 0; i <= LimitedServers.MAX_SERVERS; i++) {
      limits.name(LimitedServers.Instance.of(server("s" + i, 1)), 1, i, i);
    }

    assertThat(limits.size()).isEqualTo(LimitedServers.MAX_SERVERS);
    assertThat(limits.requestsPerSecond(LimitedServers.Instance.of(server("s0", 1))))
        .isEqualTo(OptionalDouble.empty());
  }
}
