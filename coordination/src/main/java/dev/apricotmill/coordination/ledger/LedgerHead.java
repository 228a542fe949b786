package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;

/**
 * The head object of a shard: the claims of the last moments and the pages with older ones.
 *
 * <p>Its version is the fence. Every decision that a key is new was taken on one version and stands
 * only if that version is replaced by the very update that records the claim.
 *
 * @param floorMillis keys with an earlier creation time may have been forgotten
 * @param nextPage the number of the next page
 * @param pages the pages, oldest first
 * @param claims the claims that are not in a page, or changed since
 */
record LedgerHead(
    long floorMillis,
    long nextPage,
    ImmutableList<PageReference> pages,
    ImmutableList<ClaimRecord> claims) {

  static LedgerHead empty() {
    return new LedgerHead(0, 1, ImmutableList.of(), ImmutableList.of());
  }
}
