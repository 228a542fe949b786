package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.Incarnation;

/**
 * A claim of the right to run a request.
 *
 * @param key the caller's key
 * @param fingerprint the fingerprint of the request
 * @param runner the daemon incarnation that wants to run it
 * @param nonce identifies this attempt; the same when the attempt is repeated
 * @param window the creation times that the service accepts
 */
public record ClaimRequest(
    LedgerKey key,
    RequestFingerprint fingerprint,
    Incarnation runner,
    ClaimNonce nonce,
    KeyWindow window) {}
