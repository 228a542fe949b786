package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.core.relay.CallerLimits;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.RouteTable;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class RequestAuthorizerTest {

  private final RelayFixture relay = new RelayFixture(1);

  @Test
  void aPathWithoutARouteIsRefused() {
    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.NO_ROUTE);
  }

  @Test
  void aRevokedKeyIsUnknown() {
    relay
        .node()
        .update(view -> view.withConfiguration(withoutKeys(2), Optional.of(relay.validatedNow())));

    assertThat(relay.accept("/order/1").refusal()).isEqualTo(RelayRefusal.UNKNOWN_KEY);
  }

  @Test
  void noKeyIsAcceptedOnceTheConfigurationIsTooStale() {
    relay.time().advance(Duration.ofMillis(4_601));

    RecordedCaller caller = relay.accept("/order/1");

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
    assertThat(caller.refusal().guaranteesNotRun()).isTrue();
    assertThat(relay.sent()).isEmpty();
    assertThat(relay.node().isReady()).isFalse();
  }

  @Test
  void aNodeWithAStaleConfigurationDoesNotReportAMissingRoute() {
    relay.time().advance(Duration.ofMillis(4_601));

    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aRouteThatMayHaveBeenAddedMeanwhileIsNotReportedAsMissing() {
    relay.time().advance(RelayFixture.CONFIGURATION_BOUND);
    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.NO_ROUTE);
    relay.time().advance(Duration.ofMillis(1));

    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aKeyThatMayHaveBeenAddedMeanwhileIsNotReportedAsUnknown() {
    relay
        .node()
        .update(view -> view.withConfiguration(withoutKeys(2), Optional.of(relay.validatedNow())));
    relay.time().advance(RelayFixture.CONFIGURATION_BOUND.plusMillis(1));

    assertThat(relay.accept("/order/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aKnownKeyIsAcceptedUntilItMayHaveBeenRevoked() {
    relay.time().advance(RelayFixture.CONFIGURATION_BOUND.plusMillis(1));

    relay.accept("/order/1");

    assertThat(relay.sent()).hasSize(1);
  }

  @Test
  void aNodeWithoutAServerListReportsAnUnknownConfigurationAndNotAMissingServer() {
    relay
        .node()
        .update(
            view ->
                ServingView.EMPTY.withConfiguration(
                    RelayFixture.configuration(1), Optional.of(relay.validatedNow())));

    assertThat(relay.accept("/order/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aNodeWithoutAConfigurationReportsAnUnknownConfiguration() {
    relay.node().update(view -> ServingView.EMPTY);

    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aStoppingNodeRefusesNewRequestsAndCompletesOpenOnes() {
    RecordedCaller open = relay.accept("/order/1");
    relay.node().stopAccepting();

    RecordedCaller late = relay.accept("/order/2");

    assertThat(late.refusal()).isEqualTo(RelayRefusal.STOPPING);
    relay.last().head(200, false);
    relay.last().end();
    assertThat(open.status()).isEqualTo(200);
    assertThat(relay.sent()).hasSize(1);
  }

  @Test
  void anOlderConfigurationIsNeverApplied() {
    ServingState state =
        new ServingState(
            relay.node(),
            new LeavingServers(relay.timing(), EventLog.NONE),
            EventLog.NONE,
            view -> {});
    state.configurationRead(RelayFixture.configuration(7));

    state.configurationRead(withoutKeys(6));

    assertThat(relay.node().view().configuration().map(ServingConfiguration::version))
        .isEqualTo(Optional.of(7L));
  }

  @Test
  void anUnreadableObjectChangesNothing() {
    ServingState state =
        new ServingState(
            relay.node(),
            new LeavingServers(relay.timing(), EventLog.NONE),
            EventLog.NONE,
            view -> {});

    state.objectUnreadable(new ObjectKey("config/main"), "test");
    state.configurationValidated(new ReadTimestamp(0, 0));

    assertThat(relay.node().view().configuration()).isPresent();
  }

  private static ServingConfiguration withoutKeys(long version) {
    ServingConfiguration known = RelayFixture.configuration(version);
    return new ServingConfiguration(
        version,
        new RouteTable(ImmutableList.copyOf(known.routes().routes())),
        known.services(),
        ImmutableMap.of(),
        true,
        new CallerLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1)));
  }
}
