/**
 * The claims ledger. A request with an idempotency key is claimed here before it is dispatched, so
 * that it runs at most once, even if callers and daemons retry.
 */
@NullMarked
package dev.apricotmill.coordination.ledger;

import org.jspecify.annotations.NullMarked;
