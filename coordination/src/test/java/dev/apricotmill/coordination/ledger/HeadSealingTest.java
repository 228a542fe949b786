package dev.apricotmill.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class HeadSealingTest {

  private static final LedgerSettings SETTINGS = LedgerSettings.defaults();
  private static final long NOW = Duration.ofDays(1).toMillis();

  private final VirtualTime time = new VirtualTime();
  private final ShardPages pages =
      new ShardPages(
          new FakePlatform(time).clientFor("a", new Zone("z1"), time.newScheduler()),
          "ledger/0/pages/",
          Duration.ofSeconds(1));

  @Test
  void theNewestPageIsRewrittenUnderANewName() {
    PageReference page = indexPage("1-a", NOW - 1000);
    HeadSealing sealing = seal(ImmutableList.of(page), finished("k", NOW - 10));
    assertThat(sealing.removedPages()).containsExactly("1-a");
    assertThat(sealing.head().pages()).containsExactly(sealing.page());
    assertThat(sealing.claims()).hasSize(2);
  }

  @Test
  void anOlderPageIsNotRewrittenSinceItsClaimsMayBeOutdated() {
    PageReference older = indexPage("1-a", NOW - 2000);
    PageReference newest = new PageReference("2-b", NOW - 1000, 100);
    HeadSealing sealing = seal(ImmutableList.of(older, newest), finished("k", NOW - 10));
    assertThat(sealing.removedPages()).isEmpty();
    assertThat(sealing.claims()).hasSize(1);
  }

  @Test
  void aPageBeyondTheRetentionIsDroppedAndRaisesTheFloor() {
    long old = NOW - SETTINGS.retention().toMillis() - 1;
    PageReference page = indexPage("1-a", old);
    HeadSealing sealing = seal(ImmutableList.of(page), finished("k", NOW - 10));
    assertThat(sealing.removedPages()).containsExactly("1-a");
    assertThat(sealing.head().floorMillis()).isEqualTo(old + 1);
    assertThat(sealing.claims()).hasSize(1);
  }

  @Test
  void runningClaimsStayInTheHead() {
    ClaimRecord running = record("r", NOW - 10, ClaimState.RUNNING);
    HeadSealing sealing = seal(ImmutableList.of(), finished("k", NOW - 10), running);
    assertThat(sealing.head().claims()).containsExactly(running);
  }

  private HeadSealing seal(ImmutableList<PageReference> references, ClaimRecord... claims) {
    LedgerHead head = new LedgerHead(0, 3, references, ImmutableList.copyOf(claims));
    return HeadSealing.of(head, pages, SETTINGS, NOW, "suffix").orElseThrow();
  }

  /** Makes a page with one finished claim the last indexed one. */
  private PageReference indexPage(String name, long newestMillis) {
    PageReference reference = new PageReference(name, newestMillis, 100);
    LedgerHead head = new LedgerHead(0, 2, ImmutableList.of(reference), ImmutableList.of());
    pages.applySealing(
        new HeadSealing(
            head, reference, ImmutableList.of(finished("old", newestMillis)), ImmutableList.of()));
    return reference;
  }

  private static ClaimRecord finished(String key, long timeMillis) {
    return record(key, timeMillis, ClaimState.FINISHED);
  }

  private static ClaimRecord record(String key, long timeMillis, ClaimState state) {
    return new ClaimRecord(key, "f", "n", "d", 1, timeMillis, state, 200, "");
  }
}
