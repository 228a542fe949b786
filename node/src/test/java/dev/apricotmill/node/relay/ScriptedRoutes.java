package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.CallerLimits;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.relay.RetryPolicy;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.relay.RouteTable;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.relay.WeightedService;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The routes and the configuration of {@link RelayFixture}, named after the first part of their
 * paths.
 */
final class ScriptedRoutes {

  static final Duration LATENCY_TARGET = Duration.ofMillis(300);

  private ScriptedRoutes() {}

  static RouteTable table() {
    return new RouteTable(
        List.of(
            route(
                "order", Route.ResponseKind.WHOLE, RetryPolicy.AT_MOST_ONCE, 1, RelayFixture.DESK),
            route("read", Route.ResponseKind.WHOLE, RetryPolicy.REPEATABLE, 2, RelayFixture.DESK),
            route(
                "stream", Route.ResponseKind.STREAM, RetryPolicy.REPEATABLE, 2, RelayFixture.POOL),
            route(
                "once",
                Route.ResponseKind.STREAM,
                RetryPolicy.AT_MOST_ONCE,
                2,
                RelayFixture.POOL)));
  }

  /** Returns a configuration with these routes, a pool and a service without engines. */
  static ServingConfiguration configuration(long version) {
    return new ServingConfiguration(
        version,
        table(),
        ImmutableMap.of(
            RelayFixture.POOL,
            new ServiceProfile(
                RelayFixture.POOL,
                100,
                Optional.of(
                    new EngineCostModel(4, 450_000, 1, 0.01, 0.003, 100_000, 0.0001, 46, 13_000))),
            RelayFixture.DESK,
            new ServiceProfile(RelayFixture.DESK, 100, Optional.empty())),
        ImmutableMap.of("key", new CustomerId("customer")),
        true,
        new CallerLimits(16 << 10, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15)));
  }

  private static Route route(
      String name,
      Route.ResponseKind kind,
      RetryPolicy repeats,
      int maximumAttempts,
      ServiceName service) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        kind,
        repeats,
        Duration.ofSeconds(3),
        LATENCY_TARGET,
        Optional.of(Duration.ofMillis(200)),
        1,
        maximumAttempts,
        false,
        ImmutableList.of(new WeightedService(service, 1)));
  }
}
