package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.RetryPolicy;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.relay.RouteTable;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.relay.WeightedService;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that is sent to one server twice: while its own server is silent, and the
 * one that was tried instead as well.
 */
final class SecondStandbyTest {

  private static final Duration ALL_SILENT = Duration.ofMillis(4_500);

  private final RelayFixture relay = new RelayFixture(/* retryReserve= */ 20);

  @Test
  void aStreamIsNotSentAgainToTheSilentServerThatWasTriedInstead() {
    relay.setServers(ScriptedServers.ofServices(2, RelayFixture.POOL));
    allowThreeAttempts();
    relay.accept("/stream/1");
    SentExchange first = relay.last();
    first.head(200, false);
    first.body("id: 1\n\n");

    relay.time().advance(ALL_SILENT);

    List<ReplicaId> servers =
        relay.sent().stream().map(exchange -> exchange.request().server().id()).toList();
    assertThat(servers).containsNoDuplicates();
    assertThat(servers).hasSize(2);
  }

  private void allowThreeAttempts() {
    ServingConfiguration twoAttempts = RelayFixture.configuration(1);
    Route route =
        new Route(
            "stream",
            "host",
            "/stream/",
            Route.ResponseKind.STREAM,
            RetryPolicy.REPEATABLE,
            Duration.ofSeconds(10),
            Duration.ofMillis(300),
            Optional.of(Duration.ofMillis(200)),
            1,
            /* maximumAttempts= */ 3,
            false,
            ImmutableList.of(new WeightedService(RelayFixture.POOL, 1)));
    relay
        .node()
        .update(
            view ->
                view.withConfiguration(
                    new ServingConfiguration(
                        2,
                        new RouteTable(List.of(route)),
                        twoAttempts.services(),
                        twoAttempts.customers(),
                        true,
                        twoAttempts.limits()),
                    Optional.of(relay.validatedNow())));
  }
}
