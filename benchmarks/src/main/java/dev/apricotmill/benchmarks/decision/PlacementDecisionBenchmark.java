package dev.apricotmill.benchmarks.decision;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.PoolScheduler;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time of one placement and its end at the dispatcher, in a pool that is half full. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementDecisionBenchmark {

  private static final ServiceName POOL = new ServiceName("pool");

  /** An engine of the deployments with 197,200 tokens each. */
  private static final EngineCostModel COST_MODEL =
      new EngineCostModel(8, 197_200, 1.02, 0.007, 0.00254, 206, 0.138, 48, 14_400);

  private static final int RUNNING_PER_ENGINE = 4;

  /** The engines of the pool. */
  @Param({"15", "78", "600"})
  private int engines;

  /** A short prompt, a long one, and one that no engine can hold. */
  @Param({"4960", "150000", "250000"})
  private long promptTokens;

  private final PoolScheduler scheduler = new PoolScheduler(COST_MODEL);
  private long nowNanos;

  /** Fills half of the pool's slots with short prompts that decode. */
  @Setup
  public void setUp() {
    ImmutableList.Builder<BackendServer> servers = ImmutableList.builder();
    for (int number = 0; number < engines; number++) {
      servers.add(
          new BackendServer(
              new ReplicaId(String.format("engine-%03d", number)),
              POOL,
              new PeerAddress("10.0.0.1", 1024 + number),
              new Zone("zone-" + number % 3),
              COST_MODEL.slots(),
              true,
              1));
    }
    scheduler.updateServers(servers.build(), COST_MODEL);
    for (int number = 0; number < engines * RUNNING_PER_ENGINE; number++) {
      PlacementRequest request = request("running-" + number, 4_960, Duration.ofDays(1));
      scheduler.place(request, nowNanos);
      nowNanos += TimeUnit.MILLISECONDS.toNanos(5);
      scheduler.onFirstEvent(request.requestId(), nowNanos);
    }
  }

  /** Places a prompt and ends it. */
  @Benchmark
  public Placement place() {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(5);
    PlacementRequest request = request("new", promptTokens, Duration.ofSeconds(15));
    Placement placement = scheduler.place(request, nowNanos);
    scheduler.onEnd(request.requestId(), nowNanos);
    return placement;
  }

  private static PlacementRequest request(String id, long promptTokens, Duration remainingTime) {
    boolean isLong = promptTokens > 10_000;
    return new PlacementRequest(
        new RequestId(id),
        POOL,
        new GenerationSize(promptTokens, 1_600),
        PromptParts.NONE,
        Duration.ofMillis(isLong ? 3_024 : 309),
        Duration.ofMillis(isLong ? 1_000 : 250),
        remainingTime,
        ImmutableSet.of());
  }
}
