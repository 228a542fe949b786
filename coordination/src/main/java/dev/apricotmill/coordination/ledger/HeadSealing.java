package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Moves claims from the head of a shard to a page, and drops pages that are older than the
 * retention.
 *
 * <p>A dropped page raises the floor to the newest time in it, so that every key that could have
 * been forgotten is refused from then on, whatever the clock of whoever dropped it says.
 *
 * @param head the head without the moved claims and dropped pages
 * @param page the reference of the new page
 * @param claims what the new page holds
 * @param removedPages the names of pages that the head no longer names
 */
record HeadSealing(
    LedgerHead head,
    PageReference page,
    ImmutableList<ClaimRecord> claims,
    ImmutableList<String> removedPages) {

  /** Returns the sealing of a head, empty if too few claims may leave it to be worth a page. */
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

  /** Only the newest page is refilled: an older one may hold outdated claims. */
  private static boolean isNewest(PageReference page, LedgerHead head) {
    return page.equals(Iterables.getLast(head.pages(), null));
  }

  /** A page is closed when it is full, or old enough that it should soon be dropped as a whole. */
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
