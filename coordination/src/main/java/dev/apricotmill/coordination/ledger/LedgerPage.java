package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;

/**
 * An immutable object with older claims of a shard.
 *
 * @param claims at most one claim for each key
 */
record LedgerPage(ImmutableList<ClaimRecord> claims) {}
