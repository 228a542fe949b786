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
 * @param removed the names of pages that the head no longer names
 */
record HeadSealing(
    LedgerHead head,
    PageReference page,
    ImmutableList<ClaimRecord> claims,
    ImmutableList<String> removed) {

  /** Returns the sealing of a head, empty if too few claims may leave it to be worth a page. */
  static Optional<HeadSealing> of(
      LedgerHead head, ShardPages pages, LedgerSettings settings, long nowMillis, String suffix) {
    long staleMillis = nowMillis - settings.sealRunningAfter().toMillis();
    ImmutableList<ClaimRecord> leaving =
        head.claims().stream()
            .filter(record -> mayLeave(record, staleMillis))
            .collect(ImmutableList.toImmutableList());
    if (leaving.size() * 2 < head.claims().size()) {
      return Optional.empty();
    }
    ImmutableList<ClaimRecord> staying =
        head.claims().stream()
            .filter(record -> !mayLeave(record, staleMillis))
            .collect(ImmutableList.toImmutableList());
    Optional<PageReference> refilled =
        pages
            .last()
            .filter(last -> isNewest(last, head) && mayBeRefilled(last, settings, nowMillis));
    ImmutableList<ClaimRecord> content =
        merged(refilled.isPresent() ? pages.lastClaims() : ImmutableList.of(), leaving);
    PageReference page =
        new PageReference(
            head.nextPage() + "-" + suffix,
            content.stream().mapToLong(ClaimRecord::timeMillis).max().orElse(0),
            LedgerCodec.encode(new LedgerPage(content)).length);
    long oldestMillis = nowMillis - settings.retention().toMillis();
    return Optional.of(replacePages(head, staying, refilled, page, content, oldestMillis));
  }

  private static HeadSealing replacePages(
      LedgerHead head,
      ImmutableList<ClaimRecord> staying,
      Optional<PageReference> refilled,
      PageReference page,
      ImmutableList<ClaimRecord> content,
      long oldestMillis) {
    ImmutableList.Builder<PageReference> kept = ImmutableList.builder();
    ImmutableList.Builder<String> removed = ImmutableList.builder();
    long floorMillis = head.floorMillis();
    for (PageReference reference : head.pages()) {
      if (refilled.isPresent() && refilled.get().equals(reference)) {
        removed.add(reference.name());
      } else if (reference.newestMillis() < oldestMillis) {
        removed.add(reference.name());
        floorMillis = Math.max(floorMillis, reference.newestMillis() + 1);
      } else {
        kept.add(reference);
      }
    }
    LedgerHead next =
        new LedgerHead(floorMillis, head.nextPage() + 1, kept.add(page).build(), staying);
    return new HeadSealing(next, page, content, removed.build());
  }

  private static boolean mayLeave(ClaimRecord record, long staleMillis) {
    return record.state() != ClaimState.RUNNING || record.timeMillis() < staleMillis;
  }

  /** Only the newest page is refilled: an older one may hold outdated claims. */
  private static boolean isNewest(PageReference page, LedgerHead head) {
    return page.equals(Iterables.getLast(head.pages(), null));
  }

  /** A page is closed when it is full, or old enough that it should soon be dropped as a whole. */
  private static boolean mayBeRefilled(
      PageReference last, LedgerSettings settings, long nowMillis) {
    boolean hasRoom = last.size() + settings.sealBytes() <= settings.pageBytes();
    long ageMillis = nowMillis - last.newestMillis();
    return hasRoom && ageMillis < settings.retention().toMillis() / 2;
  }

  private static ImmutableList<ClaimRecord> merged(
      ImmutableList<ClaimRecord> older, ImmutableList<ClaimRecord> newer) {
    Map<String, ClaimRecord> byKey = new LinkedHashMap<>();
    older.forEach(record -> byKey.put(record.key(), record));
    newer.forEach(record -> byKey.put(record.key(), record));
    return ImmutableList.copyOf(byKey.values());
  }
}
