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

final class RelayGateTest {

  private final RelayFixture relay = new RelayFixture(1);

  @Test
  void aPathWithoutARouteIsNotFound() {
    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.NO_ROUTE);
  }

  @Test
  void aKeyThatWasTakenAwayIsUnknown() {
    relay.node().update(view -> view.withConfiguration(withoutKeys(2), Optional.of(relay.proof())));

    assertThat(relay.accept("/order/1").refusal()).isEqualTo(RelayRefusal.UNKNOWN_KEY);
  }

  @Test
  void noKeyIsTrustedOnceTheProofIsOlderThanItsBound() {
    relay.time().advance(Duration.ofMillis(4_601));

    RecordedCaller caller = relay.accept("/order/1");

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
    assertThat(caller.refusal().guaranteesNotRun()).isTrue();
    assertThat(relay.sent()).isEmpty();
    assertThat(relay.node().isReady()).isFalse();
  }

  @Test
  void aNodeWhoseConfigurationMayBeOldDoesNotDenyARoute() {
    relay.time().advance(Duration.ofMillis(4_601));

    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aNodeThatDoesNotKnowTheServersSaysSoAndNotThatNoneIsThere() {
    relay
        .node()
        .update(
            view ->
                ServingView.NOTHING.withConfiguration(
                    RelayFixture.configuration(1), Optional.of(relay.proof())));

    assertThat(relay.accept("/order/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aNodeThatKnowsNoConfigurationDeniesNothing() {
    relay.node().update(view -> ServingView.NOTHING);

    assertThat(relay.accept("/none/1").refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
  }

  @Test
  void aNodeThatIsAboutToStopRefusesWhatComesAndEndsWhatIsOpen() {
    RecordedCaller open = relay.accept("/order/1");
    relay.node().stopTaking();

    RecordedCaller late = relay.accept("/order/2");

    assertThat(late.refusal()).isEqualTo(RelayRefusal.STOPPING);
    relay.last().head(200, false);
    relay.last().end();
    assertThat(open.status()).isEqualTo(200);
    assertThat(relay.sent()).hasSize(1);
  }

  @Test
  void anOlderConfigurationIsNeverTaken() {
    ServingState state = new ServingState(relay.node(), EventLog.NONE, view -> {});
    state.configurationRead(RelayFixture.configuration(7));

    state.configurationRead(withoutKeys(6));

    assertThat(relay.node().view().configuration().map(ServingConfiguration::version))
        .isEqualTo(Optional.of(7L));
  }

  @Test
  void anObjectThatCannotBeReadChangesNothing() {
    ServingState state = new ServingState(relay.node(), EventLog.NONE, view -> {});

    state.unreadable(new ObjectKey("config/main"), "test");
    state.configurationProven(new ReadTimestamp(0, 0));

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
