package dev.apricotmill.coordination.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.io.BaseEncoding;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * A request to another daemon to perform an operation on the ledger, encoded as JSON.
 *
 * @param operation the operation
 * @param key the idempotency key
 * @param nonce the nonce of the attempt to claim the key
 * @param fingerprint for {@code CLAIM}: the fingerprint of the request
 * @param daemon for {@code CLAIM}: the name of the daemon that will run the request
 * @param incarnation for {@code CLAIM}: the incarnation of that daemon
 * @param maximumAgeMillis for {@code CLAIM}: the maximum age of the key
 * @param futureSkewMillis for {@code CLAIM}: how far the key's time may be in the future
 * @param status for {@code COMPLETE}: the status of the outcome
 * @param body for {@code COMPLETE}: the body of the outcome in Base64
 */
record LedgerRequest(
    Operation operation,
    String key,
    String nonce,
    String fingerprint,
    String daemon,
    long incarnation,
    long maximumAgeMillis,
    long futureSkewMillis,
    int status,
    String body) {

  /** The methods of {@link Claims}. */
  enum Operation {
    CLAIM {
      @Override
      CompletionStage<LedgerResponse> apply(LedgerRequest request, Claims ledger) {
        return ledger.claim(request.claimRequest()).thenApply(LedgerResponse::of);
      }
    },
    COMPLETE {
      @Override
      CompletionStage<LedgerResponse> apply(LedgerRequest request, Claims ledger) {
        RecordedOutcome outcome =
            new RecordedOutcome(request.status(), BaseEncoding.base64().decode(request.body()));
        return ledger
            .complete(request.ledgerKey(), request.claimNonce(), outcome)
            .thenApply(LedgerResponse::of);
      }
    },
    WITHDRAW {
      @Override
      CompletionStage<LedgerResponse> apply(LedgerRequest request, Claims ledger) {
        return ledger
            .withdraw(request.ledgerKey(), request.claimNonce())
            .thenApply(LedgerResponse::of);
      }
    };

    abstract CompletionStage<LedgerResponse> apply(LedgerRequest request, Claims ledger);
  }

  static LedgerRequest claim(ClaimRequest request) {
    return new LedgerRequest(
        Operation.CLAIM,
        request.key().text(),
        request.nonce().text(),
        request.fingerprint().text(),
        request.runner().daemon().name(),
        request.runner().number(),
        request.window().maximumAge().toMillis(),
        request.window().futureSkew().toMillis(),
        0,
        "");
  }

  static LedgerRequest complete(LedgerKey key, ClaimNonce nonce, RecordedOutcome outcome) {
    String body = BaseEncoding.base64().encode(outcome.body());
    return new LedgerRequest(
        Operation.COMPLETE, key.text(), nonce.text(), "", "", 0, 0, 0, outcome.status(), body);
  }

  static LedgerRequest withdraw(LedgerKey key, ClaimNonce nonce) {
    return new LedgerRequest(Operation.WITHDRAW, key.text(), nonce.text(), "", "", 0, 0, 0, 0, "");
  }

  CompletionStage<LedgerResponse> applyTo(Claims ledger) {
    return operation.apply(this, ledger);
  }

  @JsonIgnore
  ClaimRequest claimRequest() {
    return new ClaimRequest(
        ledgerKey(),
        new RequestFingerprint(fingerprint),
        new Incarnation(new DaemonId(daemon), incarnation),
        claimNonce(),
        new KeyWindow(Duration.ofMillis(maximumAgeMillis), Duration.ofMillis(futureSkewMillis)));
  }

  @JsonIgnore
  LedgerKey ledgerKey() {
    return new LedgerKey(key);
  }

  @JsonIgnore
  ClaimNonce claimNonce() {
    return new ClaimNonce(nonce);
  }
}
