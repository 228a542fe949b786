package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class CompetitionMonitorTest {

  private static final ServiceName POOL = new ServiceName("pool");
  private static final Placement GRANTED =
      new Placement.Granted(new ReplicaId("e0"), ImmutableList.of(), Duration.ZERO, 0);

  private final RelayFixture relay = new RelayFixture(2);
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final List<String> lines = new ArrayList<>();
  private final CompetitionMonitor monitor =
      new CompetitionMonitor(
          relay.timing(), (event, fields) -> lines.add(event + fields), registry);

  @Test
  void aPoolWhosePromptsDoNotCompeteIsNotReported() {
    monitor.onPlaced(POOL, GRANTED, 0);

    assertThat(lines).isEmpty();
    assertThat(registry.getMeters()).isEmpty();
  }

  @Test
  void aChangedNumberOfEnginesIsLoggedOnceASecond() {
    monitor.onPlaced(POOL, GRANTED, 4);
    monitor.onPlaced(POOL, GRANTED, 5);
    relay.time().advance(Duration.ofSeconds(1));
    monitor.onPlaced(POOL, GRANTED, 9);
    monitor.onPlaced(POOL, GRANTED, 9);

    assertThat(lines)
        .containsExactly(
            "placing.engines_kept_free{service=pool, before=0, engines=4}",
            "placing.engines_kept_free{service=pool, before=4, engines=9}")
        .inOrder();
    assertThat(registry.get("apricotmill.relay.engines_kept_free").gauge().value()).isEqualTo(9.0);
  }

  @Test
  void refusalsAreCounted() {
    monitor.onPlaced(POOL, GRANTED, 4);
    monitor.onPlaced(POOL, new Placement.Full(Duration.ofSeconds(1)), 4);

    assertThat(registry.get("apricotmill.relay.competing_prompts_refused").counter().count())
        .isEqualTo(1.0);
  }
}
