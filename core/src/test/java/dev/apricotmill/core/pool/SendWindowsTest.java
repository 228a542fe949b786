package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SendWindowsTest {

  private static final ReplicaId SERVER = new ReplicaId("s");

  private final SendWindows windows = new SendWindows();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void noSecondHasMoreThanTheLimit() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      int limit = 1 + random.nextInt(6);
      SendWindows window = new SendWindows();
      List<Long> sent = new ArrayList<>();
      long now = random.nextLong();
      for (int i = 0; i < 300; i++) {
        now += millis(random.nextInt(random.nextInt(10) == 0 ? 1_500 : 100));
        if (window.tryTake(SERVER, limit, now)) {
          sent.add(now);
        }
      }
      for (int i = limit; i < sent.size(); i++) {
        assertWithMessage("seed %s", seed)
            .that(sent.get(i) - sent.get(i - limit))
            .isAtLeast(millis(1_000));
      }
      assertThat(sent.size()).isAtLeast(limit);
    }
  }

  /** Guards against a whole new share at the moment at which a server turns cold. */
  @Test
  void whatWasSentBeforeTheLimitCounts() {
    for (int i = 0; i < 4; i++) {
      windows.record(SERVER, millis(100L * i));
    }
    assertThat(windows.tryTake(SERVER, 2, millis(400))).isFalse();
    assertThat(windows.timeUntilFree(SERVER, 2, millis(400)))
        .isEqualTo(Optional.of(Duration.ofMillis(800)));
    assertThat(windows.tryTake(SERVER, 2, millis(1_201))).isTrue();
  }

  @Test
  void withoutAShareNothingIsSent() {
    assertThat(windows.tryTake(SERVER, 0, 0)).isFalse();
    assertThat(windows.timeUntilFree(SERVER, 0, 0)).isEmpty();
  }

  @Test
  void otherServersAreForgotten() {
    windows.record(SERVER, 0);
    windows.retainAll(ImmutableSet.of());
    assertThat(windows.tryTake(SERVER, 1, 1)).isTrue();
  }
}
