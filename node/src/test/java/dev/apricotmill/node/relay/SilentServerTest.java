package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that are lost because a sound engine is silent during one long pass: a
 * silent server is left only once another one writes.
 */
final class SilentServerTest {

  private static final int RETRY_RESERVE = 20;
  private static final int SLOTS = 4;
  private static final Duration LONG_PASS = Duration.ofMillis(2_200);
  private static final Duration GRACE = Duration.ofSeconds(8);

  private final RelayFixture relay = new RelayFixture(RETRY_RESERVE);

  @Test
  void aStreamOutlastsALongPassOfTheOnlyEngine() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.POOL));
    OpenStream stream = begin(relay, "/stream/1");

    relay.time().advance(LONG_PASS);

    stream.assertContinues();
    assertThat(relay.sent()).hasSize(1);
  }

  @Test
  void anAtMostOnceStreamOutlastsALongPass() {
    OpenStream stream = begin(relay, "/once/1");

    relay.time().advance(LONG_PASS);

    stream.assertContinues();
    assertThat(relay.sent()).hasSize(1);
  }

  @Test
  void aStreamOutlastsALongPassBeforeItsFirstEvent() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.POOL));
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange engine = relay.last();

    relay.time().advance(Duration.ofMillis(2_900));

    assertThat(engine.cancelled()).isFalse();
    engine.head(200, false);
    engine.body("id: 1\n\n");
    new OpenStream(caller, engine).assertContinues();
  }

  @Test
  void aStreamOutlastsALongPassWhileAllOtherEnginesAreFull() {
    OpenStream stream = begin(relay, "/stream/1");
    for (int i = 1; i < 3 * SLOTS; i++) {
      relay.accept("other" + i, "/stream/1", OptionalLong.empty());
      relay.last().head(200, false);
      relay.last().body("id: 1\n\n");
    }
    int sentBefore = relay.sent().size();

    for (int i = 2; i < 5; i++) {
      relay.time().advance(Duration.ofMillis(500));
      for (SentExchange other : relay.sent().subList(0, sentBefore)) {
        if (other != stream.engine()) {
          other.body("id: " + i + "\n\n");
        }
      }
    }
    relay.time().advance(Duration.ofMillis(200));

    assertThat(relay.sent()).hasSize(sentBefore);
    stream.assertContinues();
  }

  @Test
  void aStreamOutlastsALongPassWhileAllOtherEnginesDrain() {
    OpenStream stream = begin(relay, "/stream/1");
    relay.setServers(onlyReady(stream.engine().request().server().id()));

    relay.time().advance(LONG_PASS);

    stream.assertContinues();
  }

  @Test
  void aStreamOutlastsALongPassWhileAllOtherEnginesArePaused() {
    OpenStream stream = begin(relay, "/stream/1");
    ScriptedServers.ofServices(3, RelayFixture.POOL).values().stream()
        .filter(server -> !server.id().equals(stream.engine().request().server().id()))
        .forEach(
            server ->
                relay
                    .node()
                    .onNotice(server, new ServerNotice(false, Optional.of(Duration.ofSeconds(8)))));
    relay.time().runDue();

    relay.time().advance(LONG_PASS);

    stream.assertContinues();
    assertThat(relay.sent()).hasSize(1);
  }

  @Test
  void aStreamOutlastsALongPassWithoutARetryBudget() {
    RelayFixture withoutBudget = new RelayFixture(0);
    OpenStream stream = begin(withoutBudget, "/stream/1");

    withoutBudget.time().advance(LONG_PASS);

    stream.assertContinues();
  }

  @Test
  void aStreamOutlastsALongPassDuringAPlannedStop() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.POOL));
    OpenStream stream = begin(relay, "/stream/1");
    relay.node().beginStop(GRACE);

    for (int i = 0; i < 22; i++) {
      relay.node().advanceStop(relay.node().openRequests());
      relay.time().advance(Duration.ofMillis(100));
    }

    stream.assertContinues();
  }

  @Test
  void aStreamOutlastsALongPassDuringAChangeOfTheConfiguration() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.POOL));
    OpenStream stream = begin(relay, "/stream/1");

    for (int i = 2; i < 13; i++) {
      int version = i;
      relay
          .node()
          .update(
              view ->
                  view.withConfiguration(
                      RelayFixture.configuration(version), Optional.of(relay.validatedNow())));
      relay.time().advance(Duration.ofMillis(200));
    }

    stream.assertContinues();
  }

  @Test
  void aStreamIsNotLostIfTheServerThatWasTriedInsteadRefusesIt() {
    for (boolean notRun : new boolean[] {true, false}) {
      RelayFixture fixture = new RelayFixture(RETRY_RESERVE);
      OpenStream stream = begin(fixture, "/stream/1");
      fixture.time().advance(Duration.ofMillis(1_600));
      assertThat(fixture.sent()).hasSize(2);

      fixture.last().head(503, notRun);
      fixture.last().end();
      fixture.time().advance(Duration.ofMillis(600));

      stream.assertContinues();
    }
  }

  @Test
  void aStreamIsNotLostIfTheServerThatWasTriedInsteadFails() {
    for (boolean maybeSent : new boolean[] {true, false}) {
      RelayFixture fixture = new RelayFixture(RETRY_RESERVE);
      OpenStream stream = begin(fixture, "/stream/1");
      fixture.time().advance(Duration.ofMillis(1_600));
      assertThat(fixture.sent()).hasSize(2);

      fixture.last().fail(maybeSent);

      stream.assertContinues();
    }
  }

  @Test
  void theAttemptBesideASilentServerIsCancelledWhenThatServerWritesAgain() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange engine = relay.last();
    engine.head(200, false);
    engine.body("id: 1\n\nid: 2\n");
    relay.time().advance(Duration.ofMillis(1_600));
    SentExchange standby = relay.last();
    assertThat(standby.request().resumeAfterEvent()).isEqualTo(OptionalLong.of(1));
    standby.head(200, false);
    standby.body("id: 2\n");

    engine.body("\n");

    assertThat(standby.cancelled()).isTrue();
    engine.body("id: 3\n\n");
    engine.end();
    assertThat(caller.body()).isEqualTo("id: 1\n\nid: 2\n\nid: 3\n\n");
    assertThat(caller.ended()).isTrue();
    assertThat(relay.placedCount()).isEqualTo(0);
  }

  @Test
  void aSilentServerIsLeftAsSoonAsAnotherOneWritesAnEvent() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange lost = relay.last();
    lost.head(200, false);
    lost.body("id: 1\n\nid: 2\n");
    relay.time().advance(Duration.ofMillis(1_600));
    SentExchange standby = relay.last();
    standby.head(200, false);
    standby.body("id: 2\n\nid");
    assertThat(lost.cancelled()).isTrue();

    lost.body("\nid: 3\n\n");
    standby.body(": 3\n\n");
    standby.end();

    assertThat(caller.body()).isEqualTo("id: 1\n\nid: 2\n\nid: 3\n\n");
    assertThat(caller.ended()).isTrue();
    assertThat(relay.placedCount()).isEqualTo(0);
  }

  @Test
  void aStreamWhoseSilentServerFailsContinuesOnTheServerThatWasTriedInstead() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange lost = relay.last();
    lost.head(200, false);
    lost.body("id: 1\n\n");
    relay.time().advance(Duration.ofMillis(1_600));
    SentExchange standby = relay.last();
    lost.fail(true);

    assertThat(standby.cancelled()).isFalse();
    standby.head(200, false);
    standby.body("id: 2\n\n");
    standby.end();

    assertThat(relay.sent()).hasSize(2);
    assertThat(caller.body()).isEqualTo("id: 1\n\nid: 2\n\n");
    assertThat(caller.ended()).isTrue();
  }

  @Test
  void aLostServerIsLeftWhenAnotherEngineHasRoomAgain() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange lost = relay.last();
    lost.head(200, false);
    lost.body("id: 1\n\n");
    relay.setServers(onlyReady(lost.request().server().id()));
    relay.time().advance(Duration.ofMillis(1_700));
    assertThat(relay.sent()).hasSize(1);

    relay.setServers(ScriptedServers.ofServices(3, RelayFixture.POOL));
    relay.time().advance(Duration.ofMillis(300));

    assertThat(relay.sent()).hasSize(2);
    relay.last().head(200, false);
    relay.last().body("id: 2\n\n");
    assertThat(lost.cancelled()).isTrue();
    relay.last().end();
    assertThat(caller.ended()).isTrue();
  }

  @Test
  void aStreamWhoseOnlyEngineIsLostEndsAtItsDeadline() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.POOL));
    RecordedCaller begun = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");
    RecordedCaller waiting = relay.accept("r2", "/stream/1", OptionalLong.empty());

    relay.time().advance(Duration.ofMillis(3_100));

    assertThat(begun.aborted()).isTrue();
    assertThat(waiting.refusal()).isEqualTo(RelayRefusal.EXPIRED);
    assertThat(relay.sent().stream().allMatch(SentExchange::cancelled)).isTrue();
    assertThat(relay.placedCount()).isEqualTo(0);
  }

  /** A stream of which one event was passed on. */
  private record OpenStream(RecordedCaller caller, SentExchange engine) {

    /** Writes the rest of the stream, which must arrive. */
    void assertContinues() {
      assertThat(engine.cancelled()).isFalse();
      assertThat(caller.aborted()).isFalse();
      engine.body("id: 2\n\n");
      engine.end();
      assertThat(caller.body()).isEqualTo("id: 1\n\nid: 2\n\n");
      assertThat(caller.ended()).isTrue();
    }
  }

  private static OpenStream begin(RelayFixture fixture, String path) {
    RecordedCaller caller = fixture.accept(path);
    SentExchange engine = fixture.last();
    engine.head(200, false);
    engine.body("id: 1\n\n");
    return new OpenStream(caller, engine);
  }

  /** Returns the list of servers while all but one drain. */
  private static ImmutableMap<ReplicaId, BackendServer> onlyReady(ReplicaId ready) {
    return ImmutableMap.copyOf(
        Maps.transformValues(
            ScriptedServers.ofServices(3, RelayFixture.POOL),
            server -> server.id().equals(ready) ? server : draining(server)));
  }

  private static BackendServer draining(BackendServer server) {
    return new BackendServer(
        server.id(),
        server.service(),
        server.address(),
        server.zone(),
        server.slots(),
        /* ready= */ false,
        server.startedMillis());
  }
}
