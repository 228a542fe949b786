package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;

/** The kinds of requests that are sent to servers with limits. */
enum LimitLoad {
  POOL {
    @Override
    ServiceName service() {
      return RelayFixture.POOL;
    }

    @Override
    RelayRequest next(RelayFleet fleet, Random random) {
      GenerationSize size = random.nextInt(20) == 0 ? LARGE_PROMPT : PROMPT;
      return fleet.newRequest(
          "/stream/", Optional.of(size), EngineFleet.prompt("f" + random.nextInt(3), "d", "own"));
    }
  },
  DESK {
    @Override
    ServiceName service() {
      return RelayFixture.DESK;
    }

    @Override
    RelayRequest next(RelayFleet fleet, Random random) {
      String path = random.nextBoolean() ? "/read/" : "/order/";
      return fleet.newRequest(path, Optional.empty(), PromptParts.NONE);
    }
  };

  abstract ServiceName service();

  abstract RelayRequest next(RelayFleet fleet, Random random);

  private static final Duration TICK = Duration.ofMillis(10);
  private static final GenerationSize PROMPT = new GenerationSize(1_000, 100);
  private static final GenerationSize LARGE_PROMPT = new GenerationSize(500_000, 100);

  /** Returns a fleet whose nodes know as many servers without engines as engines. */
  static RelayFleet newFleet(int nodeCount, int serverCount) {
    RelayFleet fleet = new RelayFleet(nodeCount, serverCount, nodeCount);
    fleet.engines().addServers(RelayFixture.DESK, serverCount);
    fleet.restartAllNodes();
    fleet.advance(Duration.ofSeconds(1));
    return fleet;
  }

  /** Sends requests to random nodes and returns their callers. */
  ImmutableList<RelayFixture.RecordedCaller> play(
      RelayFleet fleet, Random random, Duration duration, double requestsPerSecond) {
    ImmutableList.Builder<RelayFixture.RecordedCaller> callers = ImmutableList.builder();
    Duration end = fleet.now().plus(duration);
    while (fleet.now().compareTo(end) < 0) {
      double count = requestsPerSecond * TICK.toMillis() / 1_000;
      for (int i = (int) (count + random.nextDouble()); i > 0; i--) {
        callers.add(fleet.send(random.nextInt(fleet.nodeCount()), next(fleet, random)));
      }
      fleet.advance(TICK);
    }
    return callers.build();
  }
}
