/**
 * The claims ledger: a request with an idempotency key is claimed here before it is dispatched, so
 * that it runs at most once whatever callers and daemons repeat.
 */
@NullMarked
package dev.apricotmill.coordination.ledger;

import org.jspecify.annotations.NullMarked;
