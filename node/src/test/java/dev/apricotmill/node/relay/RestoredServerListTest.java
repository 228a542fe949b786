package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class RestoredServerListTest {

  private static final BackendServer STAYING = ServingFixture.server(RelayFixture.DESK, 0, 1_000);
  private static final BackendServer OTHER = ServingFixture.server(RelayFixture.DESK, 1, 1_000);

  private final RestoredServerList servers = new RestoredServerList();
  private long nowNanos;

  private static ImmutableMap<ReplicaId, BackendServer> list(BackendServer... entries) {
    return Maps.uniqueIndex(Arrays.asList(entries), BackendServer::id);
  }

  private ImmutableMap<ReplicaId, BackendServer> read(BackendServer... entries) {
    return servers.read(list(entries), ImmutableSet.of(), nowNanos);
  }

  private ImmutableMap<ReplicaId, BackendServer> restore(BackendServer... entries) {
    return servers.restore(list(entries), nowNanos);
  }

  private void advance(Duration duration) {
    nowNanos += duration.toNanos();
  }

  @Test
  void aServerThatTheCopyLacksStaysUntilItMustHaveWrittenItsEntryAgain() {
    read(STAYING, OTHER);

    assertThat(restore(STAYING)).isEqualTo(list(STAYING, OTHER));
    advance(RestoredServerList.REWRITE_TIME);
    assertThat(read(STAYING)).isEqualTo(list(STAYING));
  }

  @Test
  void aServerThatWasLeavingDoesNotBecomeReadyByACopy() {
    read(STAYING, OTHER.asLeaving());

    assertThat(restore(STAYING, OTHER)).isEqualTo(list(STAYING, OTHER.asLeaving()));
    advance(RestoredServerList.REWRITE_TIME);
    assertThat(read(STAYING, OTHER)).isEqualTo(list(STAYING, OTHER.asLeaving()));
  }

  @Test
  void aServerThatWasGoneDoesNotBecomeReadyByACopy() {
    read(STAYING, OTHER);
    read(STAYING);
    advance(Duration.ofSeconds(8));

    assertThat(restore(STAYING, OTHER)).isEqualTo(list(STAYING, OTHER.asLeaving()));
  }

  @Test
  void aServerThatWritesItsEntryAgainIsBelieved() {
    read(STAYING, OTHER);
    read(STAYING);
    restore(STAYING, OTHER);

    assertThat(servers.read(list(STAYING, OTHER), ImmutableSet.of(OTHER.id()), nowNanos))
        .isEqualTo(list(STAYING, OTHER));
  }

  @Test
  void aLaterInstanceUnderAnIdentifierIsBelieved() {
    BackendServer successor = ServingFixture.server(RelayFixture.DESK, 1, 2_000);
    read(STAYING, OTHER.asLeaving());

    assertThat(restore(STAYING, successor)).isEqualTo(list(STAYING, successor));
  }

  @Test
  void aServerThatReturnsInAStoreThatWasNotRestoredIsBelieved() {
    read(STAYING, OTHER);
    read(STAYING);

    assertThat(read(STAYING, OTHER)).isEqualTo(list(STAYING, OTHER));
  }

  @Test
  void aCopyIsBelievedWhenAllThatWasLeavingMustHaveEnded() {
    read(STAYING, OTHER.asLeaving());
    restore(STAYING, OTHER);
    advance(RestoredServerList.DEPARTURE_TIME);

    assertThat(read(STAYING, OTHER)).isEqualTo(list(STAYING, OTHER));
    assertThat(servers.isCorrected()).isFalse();
  }
}
