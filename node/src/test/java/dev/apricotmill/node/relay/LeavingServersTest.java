package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class LeavingServersTest {

  private final VirtualTime time = new VirtualTime();
  private final List<String> log = new ArrayList<>();
  private final LeavingServers leavingServers =
      new LeavingServers(time.newTiming(), (event, fields) -> log.add(event + " " + fields));

  @Test
  void aServerThatSeveralNodesReportIsMarkedAndLoggedOnce() {
    List<LeavingServers.Source> sources = new ArrayList<>();
    leavingServers.addListener((instance, source) -> sources.add(source));

    leavingServers.mark(instance("a", 1), LeavingServers.Source.PEER);
    leavingServers.mark(instance("a", 1), LeavingServers.Source.PEER);
    leavingServers.mark(instance("a", 1), LeavingServers.Source.RESPONSE);

    assertThat(sources).containsExactly(LeavingServers.Source.PEER);
    assertThat(log).containsExactly("server.leaving {server=a, service=pool, source=PEER}");
  }

  @Test
  void aServerAcceptsNothingForAsLongAsTheListNamesIt() {
    ImmutableMap<ReplicaId, BackendServer> list = list(server("a", 1), server("b", 1));
    leavingServers.update(list);
    leavingServers.mark(instance("a", 1), LeavingServers.Source.RESPONSE);

    time.advance(Duration.ofDays(1));

    assertThat(readyIds(leavingServers.update(list))).containsExactly("b");
    assertThat(log).hasSize(1);
  }

  @Test
  void aServerThatStartedAgainUnderItsIdentifierAcceptsRequests() {
    leavingServers.update(list(server("a", 1)));
    leavingServers.mark(instance("a", 1), LeavingServers.Source.PEER);

    assertThat(readyIds(leavingServers.update(list(server("a", 2))))).containsExactly("a");
    assertThat(readyIds(leavingServers.update(list(server("a", 1))))).isEmpty();
  }

  /** A list that is behind names the instance before the one that says that it is leaving. */
  @Test
  void aSuccessorThatHadStartedBeforeTheResponseIsLeavingForAsLongAsThatTakes() {
    List<String> changes = new ArrayList<>();
    leavingServers.addListener(
        new LeavingServers.LeavingListener() {
          @Override
          public void onLeaving(LeavingServers.Instance instance, LeavingServers.Source source) {}

          @Override
          public void onAcceptingAgain() {
            changes.addAll(readyIds(leavingServers.servers()));
          }
        });
    long respondedMillis = time.clock().millis();
    leavingServers.update(list(server("a", respondedMillis - 9_000)));
    leavingServers.mark(instance("a", respondedMillis - 9_000), LeavingServers.Source.RESPONSE);

    assertThat(readyIds(leavingServers.update(list(server("a", respondedMillis - 4_000)))))
        .isEmpty();
    assertThat(readyIds(leavingServers.update(list(server("a", respondedMillis + 1)))))
        .containsExactly("a");

    leavingServers.update(list(server("a", respondedMillis - 4_000)));
    time.advance(LeavingServers.MAX_DEPARTURE);
    assertThat(changes).contains("a");
  }

  @Test
  void aServerThatTheListDidNotNameForAWhileIsStillLeaving() {
    leavingServers.update(list(server("a", 1)));
    leavingServers.mark(instance("a", 1), LeavingServers.Source.RESPONSE);

    for (int i = 0; i < 3; i++) {
      leavingServers.update(list());
      time.advance(Duration.ofMinutes(9));
      assertThat(readyIds(leavingServers.update(list(server("a", 1))))).isEmpty();
    }
  }

  @Test
  void aMarkIsForgottenSomeTimeAfterTheServerHasEnded() {
    leavingServers.update(list(server("a", 1)));
    leavingServers.mark(instance("a", 1), LeavingServers.Source.RESPONSE);
    leavingServers.update(list());

    time.advance(LeavingServers.ABSENCE_OF_ENDED_INSTANCE.minusSeconds(1));
    assertThat(leavingServers.isEmpty()).isFalse();

    time.advance(Duration.ofMinutes(2));
    assertThat(leavingServers.isEmpty()).isTrue();
    assertThat(log).contains("server.leaving_ended {server=a, service=pool}");
  }

  @Test
  void theMarksStayBoundedAndThoseOfListedServersAreKept() {
    ImmutableMap<ReplicaId, BackendServer> list = list(server("a", 1));
    leavingServers.update(list);
    leavingServers.mark(instance("a", 1), LeavingServers.Source.RESPONSE);

    for (int i = 0; i < 3 * LeavingServers.MAX_ABSENT; i++) {
      leavingServers.mark(instance("gone" + i, 1), LeavingServers.Source.PEER);
    }

    assertThat(leavingServers.instancesOf(RelayFixture.POOL))
        .hasSize(LeavingServers.MAX_ABSENT + 1);
    assertThat(readyIds(leavingServers.apply(list))).isEmpty();
  }

  private static LeavingServers.Instance instance(String id, long startedMillis) {
    return new LeavingServers.Instance(RelayFixture.POOL, new ReplicaId(id), startedMillis);
  }

  private static BackendServer server(String id, long startedMillis) {
    return new BackendServer(
        new ReplicaId(id),
        RelayFixture.POOL,
        new PeerAddress("10.0.0.1", 80),
        new Zone("a"),
        4,
        true,
        startedMillis);
  }

  private static ImmutableMap<ReplicaId, BackendServer> list(BackendServer... servers) {
    ImmutableMap.Builder<ReplicaId, BackendServer> list = ImmutableMap.builder();
    for (BackendServer server : servers) {
      list.put(server.id(), server);
    }
    return list.buildOrThrow();
  }

  private static ImmutableList<String> readyIds(ImmutableMap<ReplicaId, BackendServer> servers) {
    return servers.values().stream()
        .filter(BackendServer::ready)
        .map(server -> server.id().value())
        .collect(ImmutableList.toImmutableList());
  }
}
