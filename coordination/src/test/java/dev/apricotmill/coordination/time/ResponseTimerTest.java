package dev.apricotmill.coordination.time;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ResponseTimerTest {

  private static final ResponseLimits LIMITS =
      new ResponseLimits(Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofSeconds(5));

  private final VirtualTime time = new VirtualTime();
  private int expirations;

  private ResponseTimer start(ResponseLimits limits) {
    return ResponseTimer.start(time.newTiming(), limits, () -> expirations++);
  }

  private void advance(int millis) {
    time.advance(Duration.ofMillis(millis));
  }

  @Test
  void aResponseThatDoesNotBeginExpires() {
    start(LIMITS);

    advance(999);
    assertThat(expirations).isEqualTo(0);
    advance(1);
    assertThat(expirations).isEqualTo(1);
  }

  @Test
  void aLargeResponseThatKeepsArrivingDoesNotExpire() {
    ResponseTimer timer = start(LIMITS);

    for (int millis = 0; millis < 4_800; millis += 200) {
      advance(200);
      timer.onProgress();
    }

    assertThat(expirations).isEqualTo(0);
  }

  @Test
  void aResponseThatStallsExpiresAfterTheGap() {
    ResponseTimer timer = start(LIMITS);
    advance(900);
    timer.onProgress();

    advance(299);
    assertThat(expirations).isEqualTo(0);
    advance(1);
    assertThat(expirations).isEqualTo(1);
  }

  @Test
  void aResponseThatTricklesWithoutEndExpiresAtTheTotal() {
    ResponseTimer timer = start(LIMITS);

    for (int millis = 0; millis < 5_000; millis += 100) {
      assertThat(expirations).isEqualTo(0);
      advance(100);
      timer.onProgress();
    }

    assertThat(expirations).isEqualTo(1);
  }

  @Test
  void progressDoesNotExtendALimitOnTheWholeResponse() {
    ResponseTimer timer = start(ResponseLimits.within(Duration.ofSeconds(1)));
    advance(900);
    timer.onProgress();
    advance(100);

    assertThat(expirations).isEqualTo(1);
  }

  @Test
  void aClosedTimerDoesNotExpire() {
    ResponseTimer timer = start(LIMITS);
    advance(900);
    timer.onProgress();
    timer.close();
    advance(10_000);

    assertThat(expirations).isEqualTo(0);
  }
}
