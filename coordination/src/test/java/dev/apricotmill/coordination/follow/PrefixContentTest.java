package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StorePosition;
import dev.apricotmill.coordination.platform.StoredObject;
import org.junit.jupiter.api.Test;

final class PrefixContentTest {

  private final PrefixContent content = new PrefixContent();

  @Test
  void anOlderRevisionChangesNothing() {
    content.apply(snapshotAt(20, object("a", 20)));

    assertThat(content.apply(snapshotAt(19, object("a", 15)))).isEmpty();
    assertThat(content.apply(removal(19, "a"))).isEmpty();
    assertThat(content.updateSince(StorePosition.of(-1)).changed())
        .containsExactly(object("a", 20));
  }

  @Test
  void aSnapshotOfALaterEraReplacesEverythingAndAnEarlierEraChangesNothing() {
    content.apply(snapshotAt(20, object("a", 20), object("b", 15)));
    PrefixUpdate restored =
        new PrefixUpdate(
            true, ImmutableList.of(object("a", 12)), ImmutableList.of(), new StorePosition(1, 13));

    assertThat(content.apply(restored)).hasValue(restored);
    assertThat(content.apply(snapshotAt(21, object("c", 21)))).isEmpty();
    assertThat(content.updateSince(StorePosition.of(20))).isEqualTo(restored);
    assertThat(content.updateSince(new StorePosition(1, 13)).isEmpty()).isTrue();
    assertThat(content.updateSince(new StorePosition(2, 1)).isEmpty()).isTrue();
  }

  @Test
  void changesOfALaterEraChangeNothingWithoutItsSnapshot() {
    content.apply(snapshotAt(20, object("a", 20)));

    assertThat(
            content.apply(
                new PrefixUpdate(
                    false,
                    ImmutableList.of(object("a", 22)),
                    ImmutableList.of(),
                    new StorePosition(1, 22))))
        .isEmpty();
    assertThat(content.position()).isEqualTo(StorePosition.of(20));
  }

  @Test
  void aPeerLearnsOfTheRemovalOfAnObjectThatWasNeverKnownHere() {
    content.apply(snapshotAt(10));
    // The object existed from revision 12 to 14; a peer read the store in between.
    content.apply(removal(20, "a"));

    assertThat(content.updateSince(StorePosition.of(13)).removed()).containsExactly(key("a"));
  }

  @Test
  void aPeerAtARevisionBeforeASnapshotGetsTheSnapshot() {
    content.apply(snapshotAt(10));
    content.apply(snapshotAt(20, object("b", 15)));

    assertThat(content.updateSince(StorePosition.of(13)))
        .isEqualTo(snapshotAt(20, object("b", 15)));
    assertThat(content.updateSince(StorePosition.of(20)).isEmpty()).isTrue();
  }

  @Test
  void aSnapshotReportsOnlyWhatItChanged() {
    content.apply(snapshotAt(10, object("a", 5), object("b", 6)));

    assertThat(content.apply(snapshotAt(20, object("b", 6), object("c", 15))))
        .hasValue(
            new PrefixUpdate(
                false, ImmutableList.of(object("c", 15)), ImmutableList.of(key("a")), 20));
  }

  @Test
  void anObjectThatIsCreatedAgainIsNotReportedAsRemoved() {
    content.apply(snapshotAt(10, object("a", 5)));
    content.apply(removal(12, "a"));
    content.apply(
        new PrefixUpdate(false, ImmutableList.of(object("a", 14)), ImmutableList.of(), 14));

    assertThat(content.updateSince(StorePosition.of(11)))
        .isEqualTo(
            new PrefixUpdate(false, ImmutableList.of(object("a", 14)), ImmutableList.of(), 14));
  }

  @Test
  void afterManyRemovalsAPeerThatIsFarBehindGetsASnapshot() {
    content.apply(snapshotAt(10, object("stays", 1)));
    for (int revision = 11; revision < 3000; revision++) {
      content.apply(removal(revision, "gone" + revision));
    }

    assertThat(content.updateSince(StorePosition.of(11)).snapshot()).isTrue();
    assertThat(content.updateSince(StorePosition.of(2990)).removed()).hasSize(9);
  }

  private static PrefixUpdate snapshotAt(long revision, StoredObject... objects) {
    return new PrefixUpdate(true, ImmutableList.copyOf(objects), ImmutableList.of(), revision);
  }

  private static PrefixUpdate removal(long revision, String name) {
    return new PrefixUpdate(false, ImmutableList.of(), ImmutableList.of(key(name)), revision);
  }

  private static StoredObject object(String name, long version) {
    return new StoredObject(key(name), version, new byte[0]);
  }

  private static ObjectKey key(String name) {
    return new ObjectKey("things/" + name);
  }
}
