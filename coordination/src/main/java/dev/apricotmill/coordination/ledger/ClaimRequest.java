package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.Incarnation;

/**
 * Asks for the right to run a request.
 *
 * @param key the caller's idempotency key
 * @param fingerprint the fingerprint of the request
 * @param runner the daemon incarnation that will run the request
 * @param nonce identifies this attempt; a retry of the same attempt uses the same nonce
 * @param window the creation times of keys that the service accepts
 */
public record ClaimRequest(
    LedgerKey key,
    RequestFingerprint fingerprint,
    Incarnation runner,
    ClaimNonce nonce,
    KeyWindow window) {}
