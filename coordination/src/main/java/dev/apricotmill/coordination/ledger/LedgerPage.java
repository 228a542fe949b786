package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;

/**
 * An immutable object with older claims of a shard.
 *
 * @param claims the claims
 */
record LedgerPage(ImmutableList<ClaimRecord> claims) {}
