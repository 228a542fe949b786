package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Moves claims from the head of a shard to an immutable page, and drops pages that are older than
 * the retention.
 *
 * <p>Dropping a page raises the floor above the newest time in it. From then on, every key with an
 * earlier creation time is refused, whatever the clock of the daemon that dropped the page.
 *
 * @param head the new head, without the moved claims and the removed pages
 * @param page the reference to the new page
 * @param claims the claims in the new page
 * @param removedPages the names of pages that the new head no longer references
 */
record HeadSealing(
    LedgerHead head,
    PageReference page,
    ImmutableList<ClaimRecord> claims,
    ImmutableList<String> removedPages) {

  /** Returns the sealing of a head, empty if fewer than half of its claims can be moved. */
  static Optional<HeadSealing> of(
      LedgerHead head, ShardPages pages, LedgerSettings settings, long nowMillis, String suffix) {
    long staleBeforeMillis = nowMillis - settings.sealRunningAfter().toMillis();
    ImmutableList<ClaimRecord> moved =
        head.claims().stream()
            .filter(record -> isMovable(record, staleBeforeMillis))
            .collect(ImmutableList.toImmutableList());
    if (moved.size() * 2 < head.claims().size()) {
      return Optional.empty();
    }
    ImmutableList<ClaimRecord> remaining =
        head.claims().stream()
            .filter(record -> !isMovable(record, staleBeforeMillis))
            .collect(ImmutableList.toImmutableList());
    Optional<PageReference> rewritten =
        pages
            .lastIndexed()
            .filter(
                lastIndexed ->
                    isNewest(lastIndexed, head) && isRewritable(lastIndexed, settings, nowMillis));
    ImmutableList<ClaimRecord> content =
        mergeByKey(rewritten.isPresent() ? pages.lastIndexedClaims() : ImmutableList.of(), moved);
    PageReference page =
        new PageReference(
            head.nextPage() + "-" + suffix,
            content.stream().mapToLong(ClaimRecord::timeMillis).max().orElse(0),
            LedgerCodec.encode(new LedgerPage(content)).length);
    long expiredBeforeMillis = nowMillis - settings.retention().toMillis();
    return Optional.of(
        replacePages(head, remaining, rewritten, page, content, expiredBeforeMillis));
  }

  private static HeadSealing replacePages(
      LedgerHead head,
      ImmutableList<ClaimRecord> remaining,
      Optional<PageReference> rewritten,
      PageReference page,
      ImmutableList<ClaimRecord> content,
      long expiredBeforeMillis) {
    ImmutableList.Builder<PageReference> kept = ImmutableList.builder();
    ImmutableList.Builder<String> removedPages = ImmutableList.builder();
    long floorMillis = head.floorMillis();
    for (PageReference reference : head.pages()) {
      if (rewritten.isPresent() && rewritten.get().equals(reference)) {
        removedPages.add(reference.name());
      } else if (reference.newestMillis() < expiredBeforeMillis) {
        removedPages.add(reference.name());
        floorMillis = Math.max(floorMillis, reference.newestMillis() + 1);
      } else {
        kept.add(reference);
      }
    }
    LedgerHead next =
        new LedgerHead(floorMillis, head.nextPage() + 1, kept.add(page).build(), remaining);
    return new HeadSealing(next, page, content, removedPages.build());
  }

  private static boolean isMovable(ClaimRecord record, long staleBeforeMillis) {
    return record.state() != ClaimState.RUNNING || record.timeMillis() < staleBeforeMillis;
  }

  /**
   * Returns whether a page is the newest one. Only that page is rewritten with more claims: an
   * older one may contain claims that a newer page has replaced.
   */
  private static boolean isNewest(PageReference page, LedgerHead head) {
    return page.equals(Iterables.getLast(head.pages(), null));
  }

  /**
   * Returns whether claims may be added to a page by rewriting it. A page that is full is not
   * rewritten, nor one older than half the retention, since it is soon to be dropped as a whole.
   */
  private static boolean isRewritable(PageReference page, LedgerSettings settings, long nowMillis) {
    boolean hasRoom = page.size() + settings.headSealBytes() <= settings.maxPageBytes();
    long ageMillis = nowMillis - page.newestMillis();
    return hasRoom && ageMillis < settings.retention().toMillis() / 2;
  }

  private static ImmutableList<ClaimRecord> mergeByKey(
      ImmutableList<ClaimRecord> older, ImmutableList<ClaimRecord> newer) {
    Map<String, ClaimRecord> byKey = new LinkedHashMap<>();
    older.forEach(record -> byKey.put(record.key(), record));
    newer.forEach(record -> byKey.put(record.key(), record));
    return ImmutableList.copyOf(byKey.values());
  }
}
