package dev.apricotmill.core.length;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ContiguousSet;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.ServiceName;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LengthEstimatorTest {

  private static final ServiceName SERVICE = new ServiceName("model");
  private static final ServiceName OTHER = new ServiceName("other");

  private final LengthEstimator estimator = new LengthEstimator();

  @Test
  void theEstimateFollowsTheCountsOfItsOwnServiceOnly() {
    for (int count = 0; count < 50; count++) {
      estimator.observe(SERVICE, 1_000, 400);
    }
    assertThat(estimator.estimate(SERVICE, 10_000).tokens()).isIn(range(3_990, 4_010));
    assertThat(estimator.estimate(OTHER, 10_000).tokens()).isEqualTo(2_500);
  }

  @Test
  void theUpperEstimateIsSeldomExceeded() {
    Random random = new Random(7);
    int exceeded = 0;
    for (int count = 0; count < 10_000; count++) {
      long tokens = Math.round(1_000 * (0.25 + 0.03 * random.nextGaussian()));
      if (count > 100 && tokens > estimator.estimate(SERVICE, 1_000).upperTokens()) {
        exceeded++;
      }
      estimator.observe(SERVICE, 1_000, tokens);
    }
    assertThat(exceeded).isLessThan(200);
  }

  @Test
  void servicesThatAreNoLongerConfiguredAreRemoved() {
    estimator.observe(SERVICE, 1_000, 900);
    estimator.retainServices(ImmutableSet.of(OTHER));
    assertThat(estimator.estimate(SERVICE, 1_000).tokens()).isEqualTo(250);
  }

  private static ImmutableSet<Long> range(long first, long last) {
    return ContiguousSet.closed(first, last);
  }
}
