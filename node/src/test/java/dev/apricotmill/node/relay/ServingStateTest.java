package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ServingStateTest {

  private final RelayFixture relay = new RelayFixture(1);
  private final List<String> log = new ArrayList<>();
  private final List<ServingView> changes = new ArrayList<>();
  private final ServingState state =
      new ServingState(
          relay.node(),
          new LeavingServers(relay.timing(), EventLog.NONE),
          (event, fields) -> log.add(event),
          changes::add);

  @Test
  void anOlderConfigurationIsNeverApplied() {
    state.configurationRead(RelayFixture.configuration(5));
    state.configurationRead(RelayFixture.configuration(4));
    state.configurationRead(RelayFixture.configuration(5));

    assertThat(relay.node().view().configuration().orElseThrow().version()).isEqualTo(5);
    assertThat(log).containsExactly("configuration.taken");
  }

  @Test
  void aNodeIsReadyOnlyWhileItsConfigurationIsConfirmed() {
    assertThat(relay.node().isReady()).isTrue();

    relay.time().advance(Duration.ofSeconds(6));
    assertThat(relay.node().isReady()).isFalse();

    state.configurationValidated(now());
    assertThat(relay.node().isReady()).isTrue();
  }

  @Test
  void aConfigurationIsNotConfirmedWhileTheNewestIsUnreadable() {
    relay.time().advance(Duration.ofSeconds(6));

    state.configurationUnreadable(new ObjectKey("config/main"), "not JSON");
    state.configurationValidated(now());
    assertThat(relay.node().isReady()).isFalse();

    state.configurationRead(RelayFixture.configuration(5));
    state.configurationValidated(now());
    assertThat(relay.node().isReady()).isTrue();
  }

  @Test
  void aConfigurationIsNotConfirmedByAStoreThatHasAnOlderOneOrNone() {
    state.configurationRead(RelayFixture.configuration(5));
    relay.time().advance(Duration.ofSeconds(6));

    state.configurationRead(RelayFixture.configuration(4));
    state.configurationValidated(now());
    assertThat(relay.node().isReady()).isFalse();

    state.configurationRead(RelayFixture.configuration(5));
    state.configurationValidated(now());
    assertThat(relay.node().isReady()).isTrue();

    relay.time().advance(Duration.ofSeconds(6));
    state.configurationMissing();
    state.configurationValidated(now());
    assertThat(relay.node().isReady()).isFalse();
  }

  @Test
  void whatIsMissingFromARestoredListIsDroppedWithoutAnotherRead() {
    ImmutableMap<ReplicaId, BackendServer> before =
        relay.node().view().servers().orElseThrow().serversById();
    state.serversRead(before);

    state.serversRestored(ImmutableMap.of());
    assertThat(relay.node().view().servers().orElseThrow().serversById()).isEqualTo(before);

    relay.time().advance(RestoredServerList.REWRITE_TIME);
    assertThat(relay.node().view().servers().orElseThrow().serversById()).isEmpty();
  }

  @Test
  void theStartAndEndOfAnOutageAreLoggedOnce() {
    state.storeUnavailable("servers", PlatformFailure.NO_ANSWER);
    state.storeUnavailable("servers", PlatformFailure.NO_ANSWER);
    state.serversRead(ImmutableMap.of());

    assertThat(log).containsExactly("store.lost", "store.regained", "servers.taken").inOrder();
  }

  @Test
  void aLeavingServerGetsNoNewRequests() {
    ImmutableMap.Builder<ReplicaId, BackendServer> leaving = ImmutableMap.builder();
    relay
        .node()
        .view()
        .servers()
        .orElseThrow()
        .serversById()
        .forEach(
            (id, server) ->
                leaving.put(
                    id,
                    new BackendServer(
                        id,
                        server.service(),
                        server.address(),
                        server.zone(),
                        server.slots(),
                        false,
                        server.startedMillis())));

    state.serversRead(leaving.buildOrThrow());
    relay.accept("/stream/1");
    relay.accept("/order/1");

    assertThat(relay.sent()).isEmpty();
  }

  private ReadTimestamp now() {
    return new ReadTimestamp(relay.timing().nanoTime(), relay.timing().clock().millis());
  }
}
