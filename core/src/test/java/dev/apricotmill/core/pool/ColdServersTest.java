package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ColdServersTest {

  private static final LimitedServers.Instance FIRST =
      new LimitedServers.Instance(new ReplicaId("s"), 1);
  private static final LimitedServers.Instance SECOND =
      new LimitedServers.Instance(new ReplicaId("s"), 2);

  private final ColdServers servers = new ColdServers();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void entry(long version, long leftMillis, long atMillis) {
    servers.onEntry(FIRST, version, Duration.ofMillis(leftMillis), millis(atMillis));
  }

  private long leftMillis(long atMillis) {
    return servers.timeLeft(FIRST, millis(atMillis)).toMillis();
  }

  /** Guards against a warm-up that never ends while a list is delivered again and again. */
  @Test
  void anEntryThatIsDeliveredAgainDoesNotExtendTheWarmUp() {
    entry(7, 3_000, 0);
    entry(7, 3_000, 2_000);

    assertThat(leftMillis(2_000)).isEqualTo(1_000);
    assertThat(servers.isCold(FIRST, millis(3_000))).isFalse();
  }

  @Test
  void aLaterEntryReplacesTheTimeInBothDirections() {
    entry(7, 3_000, 0);
    entry(8, 500, 100);
    assertThat(leftMillis(100)).isEqualTo(500);

    entry(9, 3_000, 200);
    assertThat(leftMillis(200)).isEqualTo(3_000);
  }

  @Test
  void aWarmServerMayTurnColdAgain() {
    entry(7, 0, 0);
    assertThat(servers.isCold(FIRST, 0)).isFalse();

    entry(8, 3_000, 10_000);
    assertThat(servers.isCold(FIRST, millis(12_999))).isTrue();
    assertThat(servers.mayHaveCold(millis(12_999))).isTrue();
    assertThat(servers.mayHaveCold(millis(13_000))).isFalse();
  }

  /** Guards against an entry that was written before the server started to take requests again. */
  @Test
  void anEntryDoesNotShortenWhatAStartOrAResponseTells() {
    servers.onCold(FIRST, Duration.ofSeconds(3), 0);
    entry(7, 0, 100);
    servers.onCold(FIRST, Duration.ofSeconds(1), millis(200));

    assertThat(leftMillis(1_000)).isEqualTo(2_000);
  }

  @Test
  void instancesUnderOneIdentifierAreKeptApart() {
    entry(7, 3_000, 0);
    assertThat(servers.isCold(SECOND, 0)).isFalse();

    servers.onEntry(SECOND, 7, Duration.ofSeconds(2), millis(10));
    assertThat(servers.timeLeft(SECOND, millis(10))).isEqualTo(Duration.ofSeconds(2));
    assertThat(servers.isCold(FIRST, millis(10))).isFalse();
  }

  /** Guards against a server that is never used at full rate because of an entry out of range. */
  @Test
  void aTimeOutOfRangeIsCapped() {
    entry(7, Long.MAX_VALUE / 2_000_000, 0);
    assertThat(leftMillis(0)).isEqualTo(ColdServers.MAX_COLD_TIME.toMillis());
  }

  @Test
  void aColdServerIsRememberedWhileNoListNamesIt() {
    entry(7, 3_000, 0);
    servers.retainAll(ImmutableSet.of(), millis(1_000));
    assertThat(servers.isCold(FIRST, millis(1_000))).isTrue();

    servers.retainAll(ImmutableSet.of(), millis(3_000));
    assertThat(servers.isCold(FIRST, millis(3_000))).isFalse();
  }
}
