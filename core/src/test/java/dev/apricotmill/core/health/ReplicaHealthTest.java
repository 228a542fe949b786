package dev.apricotmill.core.health;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.steward.ReplicaLoad;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReplicaHealthTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final ReplicaHealth health = new ReplicaHealth();

  @Test
  void aReplicaWithConsecutiveFailuresIsEjectedForATimeThatDoubles() {
    recordFailures("a", 3, 0);
    assertThat(usable(pool(30_000, 30_000, 30_000), 0)).containsExactly("b", "c");
    assertThat(usable(pool(30_000, 30_000, 30_000), SECOND)).containsExactly("a", "b", "c");
    recordFailures("a", 1, SECOND);
    assertThat(usable(pool(30_000, 30_000, 30_000), 2 * SECOND)).containsExactly("b", "c");
  }

  @Test
  void aSuccessResetsTheFailureCount() {
    recordFailures("a", 2, 0);
    health.onSuccess(new ReplicaId("a"));
    recordFailures("a", 2, 0);
    assertThat(usable(pool(30_000, 30_000, 30_000), 0)).hasSize(3);
  }

  @Test
  void aReplicaThatPrefillsAtLessThanHalfTheMedianRateIsEjected() {
    assertThat(usable(pool(30_000, 10_000, 30_000), 0)).containsExactly("a", "c");
  }

  @Test
  void noMoreThanAThirdOfThePoolIsEjected() {
    recordFailures("a", 3, 0);
    recordFailures("b", 3, 0);
    assertThat(usable(pool(30_000, 30_000, 1_000), 0)).hasSize(2);
  }

  private void recordFailures(String replica, int times, long now) {
    for (int count = 0; count < times; count++) {
      health.onFailure(new ReplicaId(replica), now);
    }
  }

  private List<String> usable(ImmutableList<ReplicaView> views, long now) {
    return health.apply(views, now).stream()
        .filter(ReplicaView::usable)
        .map(view -> view.replica().value())
        .toList();
  }

  private static ImmutableList<ReplicaView> pool(double a, double b, double c) {
    return ImmutableList.of(view("a", a), view("b", b), view("c", c));
  }

  private static ReplicaView view(String replica, double rate) {
    ReplicaLoad load = new ReplicaLoad(450_000, 0, 0, 0, 0, 0, 0, 0, rate, Duration.ZERO);
    return new ReplicaView(new ReplicaId(replica), new Zone("z"), new DaemonId("d"), load, 0, true);
  }
}
