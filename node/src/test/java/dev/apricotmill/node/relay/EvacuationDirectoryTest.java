package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against evacuations that are lost, or stay, whatever the store delivers. */
final class EvacuationDirectoryTest {

  private static final Zone ZONE = new Zone("a");
  private static final Duration MOMENT = Duration.ofMillis(1);

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final List<String> log = new ArrayList<>();
  private final List<ImmutableSet<Zone>> changes = new ArrayList<>();
  private final EvacuatedZones zones =
      EvacuatedZones.followed(timing, (event, fields) -> log.add(line(event, fields)));
  private final EvacuationDirectory directory =
      new EvacuationDirectory("evacuations", (event, fields) -> log.add(event), zones);
  private long revision;

  EvacuationDirectoryTest() {
    zones.setListener(() -> changes.add(zones.zones()));
  }

  private static String line(String event, ImmutableMap<String, Object> fields) {
    return event + (fields.containsKey("cause") ? " " + fields.get("cause") : "");
  }

  @Test
  void theEvacuationsAreKnownAfterTheFirstReadAlsoIfThereAreNone() {
    assertThat(zones.isKnown()).isFalse();

    snapshot();

    assertThat(zones.isKnown()).isTrue();
    assertThat(changes).containsExactly(ImmutableSet.of());
  }

  @Test
  void anEvacuationLastsFromItsObjectToTheRemoval() {
    snapshot();
    write("a", "{}");
    assertThat(zones.zones()).containsExactly(ZONE);
    assertThat(zones.count()).isEqualTo(1);

    remove("a");

    assertThat(zones.zones()).isEmpty();
    assertThat(log).containsExactly("evacuation.began", "evacuation.ended REMOVED").inOrder();
  }

  @Test
  void anEvacuationMayBeSetAgainWithinSecondsOfItsRemoval() {
    snapshot("a");
    for (int i = 0; i < 3; i++) {
      remove("a");
      assertThat(zones.zones()).isEmpty();
      time.advance(Duration.ofMillis(700));
      write("a", "{}");
      time.advance(Duration.ofSeconds(10));
      assertThat(zones.zones()).containsExactly(ZONE);
    }
  }

  @Test
  void changesThatAreEmptyOrRepeatedNotifyNobody() {
    snapshot("a");
    changes.clear();

    directory.onChanges(
        new WatchResult.Changes(ImmutableList.of(), ImmutableList.of(), revision), now());
    write("a", "{}");

    assertThat(changes).isEmpty();
  }

  /** Only the name counts, so that a mistake in the object does not prevent the evacuation. */
  @Test
  void anObjectWithUnexpectedFieldsEvacuatesItsZoneAndIsLoggedOnce() {
    snapshot();
    for (String text : List.of("", "null", "[]", "{\"zone\":7}", "\"a\"", "{\"until\":null}")) {
      write("a", text);
      assertThat(zones.zones()).containsExactly(ZONE);
    }

    assertThat(log).containsExactly("evacuation.unexpected_object", "evacuation.began");
  }

  @Test
  void anObjectWithoutANameIsLoggedOnceAndTheOthersCount() {
    snapshot("", "a");
    write("", "{}");

    assertThat(zones.zones()).containsExactly(ZONE);
    assertThat(log).containsExactly("evacuation.unexpected_object", "evacuation.began");

    remove("");
    assertThat(zones.zones()).containsExactly(ZONE);
  }

  @Test
  void anyOtherNameIsTheNameOfAZone() {
    snapshot("east/1", "Ω 2");

    assertThat(zones.zones()).containsExactly(new Zone("east/1"), new Zone("Ω 2"));
  }

  @Test
  void anEvacuationThatARestoredStoreLacksIsKeptUntilItMayHaveBeenWrittenAgain() {
    snapshot("a");

    restore();
    time.advance(RestoredServerList.REWRITE_TIME.minus(MOMENT));
    assertThat(zones.zones()).containsExactly(ZONE);

    time.advance(MOMENT);
    assertThat(zones.zones()).isEmpty();
    assertThat(log)
        .containsExactly(
            "evacuation.began", "evacuation.kept", "evacuation.ended NOT_WRITTEN_AGAIN")
        .inOrder();
  }

  @Test
  void anEvacuationThatIsWrittenAgainAfterARestoreGoesOn() {
    snapshot("a");
    restore();
    time.advance(Duration.ofSeconds(1));
    write("a", "{}");

    time.advance(Duration.ofMinutes(1));
    assertThat(zones.zones()).containsExactly(ZONE);
    assertThat(changes).hasSize(1);

    remove("a");
    assertThat(zones.zones()).isEmpty();
  }

  @Test
  void aChangeOfAnotherZoneDoesNotEndAnEvacuationThatIsKept() {
    snapshot("a");
    restore();

    write("b", "{}");

    assertThat(zones.zones()).containsExactly(ZONE, new Zone("b"));
    time.advance(RestoredServerList.REWRITE_TIME);
    assertThat(zones.zones()).containsExactly(new Zone("b"));
  }

  @Test
  void aSecondRestoreKeepsTheEvacuationForItsOwnTime() {
    snapshot("a");
    restore();
    time.advance(Duration.ofSeconds(2));
    restore();

    time.advance(Duration.ofSeconds(2));
    assertThat(zones.zones()).containsExactly(ZONE);
    time.advance(Duration.ofSeconds(1));
    assertThat(zones.zones()).isEmpty();
  }

  @Test
  void anEvacuationThatAnOlderCopyHoldsIsInForceAgainUntilItIsRemovedAgain() {
    snapshot("a");
    remove("a");

    restore("a");
    time.advance(Duration.ofMinutes(1));
    assertThat(zones.zones()).containsExactly(ZONE);

    remove("a");
    assertThat(zones.zones()).isEmpty();
  }

  @Test
  void theBoundLeavesTimeForSending() {
    assertThat(EvacuationDirectory.followSettings(Duration.ofSeconds(5)).maxStaleness())
        .isEqualTo(Duration.ofMillis(4_600));
    assertThat(EvacuationDirectory.followSettings(Duration.ofMillis(100)).maxStaleness())
        .isEqualTo(Duration.ofMillis(90));
  }

  private void snapshot(String... names) {
    directory.onSnapshot(objects(names), now());
  }

  private void restore(String... names) {
    directory.onStoreRestored(objects(names), now());
  }

  private ImmutableList<StoredObject> objects(String... names) {
    return ImmutableList.copyOf(names).stream()
        .map(name -> object(name, "{}"))
        .collect(ImmutableList.toImmutableList());
  }

  private void write(String name, String text) {
    directory.onChanges(
        new WatchResult.Changes(ImmutableList.of(object(name, text)), ImmutableList.of(), revision),
        now());
  }

  private void remove(String name) {
    directory.onChanges(
        new WatchResult.Changes(
            ImmutableList.of(), ImmutableList.of(new ObjectKey("evacuations/" + name)), revision),
        now());
  }

  private StoredObject object(String name, String text) {
    return new StoredObject(new ObjectKey("evacuations/" + name), ++revision, text.getBytes(UTF_8));
  }

  private ReadTimestamp now() {
    return new ReadTimestamp(timing.nanoTime(), timing.clock().millis());
  }
}
