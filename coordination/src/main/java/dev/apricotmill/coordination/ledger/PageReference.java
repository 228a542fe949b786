package dev.apricotmill.coordination.ledger;

/**
 * A reference from the head of a shard to a page.
 *
 * @param name the name of the page, unique within its shard
 * @param newestMillis the latest time of a claim in the page, in milliseconds since the epoch
 * @param size the size of the page in bytes
 */
record PageReference(String name, long newestMillis, int size) {}
