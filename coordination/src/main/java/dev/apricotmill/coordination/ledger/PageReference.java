package dev.apricotmill.coordination.ledger;

/**
 * A sealed page as the head of a shard names it.
 *
 * @param name the unique name of the page within its shard
 * @param newestMillis the newest time of its claims
 * @param size its bytes
 */
record PageReference(String name, long newestMillis, int size) {}
