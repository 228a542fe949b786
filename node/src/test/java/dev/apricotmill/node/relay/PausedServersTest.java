package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.BackendServer;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class PausedServersTest {

  private static final BackendServer SERVER = ScriptedServers.server(RelayFixture.DESK, 0, 1);
  private static final BackendServer OTHER = ScriptedServers.server(RelayFixture.DESK, 1, 1);
  private final PausedServers servers = new PausedServers();

  @Test
  void aPauseConcernsOneServerUntilItIsEnded() {
    assertThat(servers.pause(SERVER, Duration.ofSeconds(2), 0).begins()).isTrue();

    assertThat(servers.accepts(SERVER, 0, seconds(1.9))).isFalse();
    assertThat(servers.accepts(OTHER, 0, seconds(1.9))).isTrue();
    assertThat(servers.end(SERVER, 0, seconds(1.9))).isEmpty();
    assertThat(servers.end(SERVER, 0, seconds(2))).hasValue(Duration.ofSeconds(2));
    assertThat(servers.accepts(SERVER, 0, seconds(2))).isTrue();
  }

  @Test
  void aShorterPauseDoesNotShortenALongerOne() {
    servers.pause(SERVER, Duration.ofSeconds(10), 0);

    assertThat(servers.pause(SERVER, Duration.ofSeconds(1), seconds(1)).begins()).isFalse();

    assertThat(servers.untilNextChange(SERVER, seconds(2))).isEqualTo(Duration.ofSeconds(8));
  }

  @Test
  void aPauseThatEndsLaterExtendsTheCurrentOne() {
    servers.pause(SERVER, Duration.ofSeconds(2), 0);

    assertThat(servers.pause(SERVER, Duration.ofSeconds(2), seconds(1)).begins()).isFalse();

    assertThat(servers.end(SERVER, 0, seconds(2))).isEmpty();
    assertThat(servers.end(SERVER, 0, seconds(3))).hasValue(Duration.ofSeconds(3));
  }

  @Test
  void anAbsurdPauseIsCappedAndReportedOnce() {
    Duration absurd = Duration.ofMillis(Long.MAX_VALUE);

    assertThat(servers.pause(SERVER, absurd, 0)).isEqualTo(new PausedServers.Change(true, true));
    assertThat(servers.pause(SERVER, absurd, 0)).isEqualTo(PausedServers.Change.NONE);

    assertThat(servers.untilNextChange(SERVER, 0)).isEqualTo(PausedServers.MAX_PAUSE);
  }

  @Test
  void anAbsurdPauseWithinAShortOneIsReported() {
    servers.pause(SERVER, Duration.ofSeconds(2), 0);

    assertThat(servers.pause(SERVER, Duration.ofDays(1), 0))
        .isEqualTo(new PausedServers.Change(false, true));
  }

  @Test
  void aPauseThatIsNotPositiveIsIgnored() {
    servers.pause(SERVER, Duration.ZERO, 0);
    servers.pause(SERVER, Duration.ofSeconds(-1), 0);

    assertThat(servers.isEmpty()).isTrue();
  }

  @Test
  void aServerThatHasStartedAgainIsNotPaused() {
    BackendServer restarted = ScriptedServers.server(RelayFixture.DESK, 0, 2);
    servers.pause(SERVER, Duration.ofSeconds(5), 0);

    assertThat(servers.accepts(restarted, 0, seconds(1))).isTrue();
    servers.pause(restarted, Duration.ofSeconds(5), seconds(1));
    servers.pause(SERVER, Duration.ofSeconds(60), seconds(1));

    assertThat(servers.isPaused(restarted)).isTrue();
    assertThat(servers.untilNextChange(restarted, seconds(1))).isEqualTo(Duration.ofSeconds(5));
  }

  @Test
  void theLimitAfterAPauseGrowsWithTimeAndWithResponses() {
    servers.pause(SERVER, Duration.ofSeconds(2), 0);
    servers.end(SERVER, 3, seconds(2));

    assertThat(servers.accepts(SERVER, 3, seconds(2))).isTrue();
    assertThat(servers.accepts(SERVER, 4, seconds(2))).isFalse();
    assertThat(servers.untilNextChange(SERVER, seconds(2))).isEqualTo(PausedServers.RETURN_STEP);
    servers.onResponse(SERVER);
    assertThat(servers.accepts(SERVER, 4, seconds(2))).isTrue();
    assertThat(servers.accepts(SERVER, 5, seconds(2))).isFalse();
    assertThat(servers.accepts(SERVER, 5, seconds(2.25))).isTrue();
    assertThat(servers.accepts(SERVER, 7, seconds(2.5))).isTrue();
  }

  @Test
  void aNewPauseWithinTheReturnStartsItAgain() {
    servers.pause(SERVER, Duration.ofSeconds(2), 0);
    servers.end(SERVER, 0, seconds(2));

    assertThat(servers.pause(SERVER, Duration.ofSeconds(1), seconds(3)).begins()).isTrue();

    servers.removeReturned(SERVER, seconds(4));
    assertThat(servers.accepts(SERVER, 0, seconds(4))).isFalse();
    servers.end(SERVER, 0, seconds(4));
    assertThat(servers.accepts(SERVER, 1, seconds(4))).isFalse();
  }

  @Test
  void nothingRemainsOfAServerAfterItsReturn() {
    servers.pause(SERVER, Duration.ofSeconds(2), 0);
    servers.end(SERVER, 0, seconds(2));

    servers.removeReturned(SERVER, seconds(2) + PausedServers.RETURN_DURATION.toNanos());

    assertThat(servers.isEmpty()).isTrue();
  }

  @Test
  void theNumberOfServersIsBounded() {
    for (int i = 0; i < 2 * PausedServers.MAX_SERVERS; i++) {
      servers.pause(ScriptedServers.server(RelayFixture.DESK, i, 1), Duration.ofSeconds(60 + i), 0);
    }

    assertThat(servers.size()).isEqualTo(PausedServers.MAX_SERVERS);
    assertThat(servers.isPaused(SERVER)).isFalse();
  }

  private static long seconds(double seconds) {
    return (long) (seconds * 1e9);
  }
}
