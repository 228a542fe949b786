package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;

/**
 * The head object of a shard: the most recent claims and references to the pages with older ones.
 *
 * <p>The version of this object orders all claims of the shard. A daemon decides that a key is new
 * from one version, and the claim is valid only if the update that records it replaces exactly that
 * version.
 *
 * @param floorMillis claims of keys with an earlier creation time may have been dropped
 * @param nextPage the number of the next page
 * @param pages the pages, oldest first
 * @param claims the claims that are not in a page, or have changed since they were moved to one
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
