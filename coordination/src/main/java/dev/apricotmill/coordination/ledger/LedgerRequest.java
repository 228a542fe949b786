package dev.apricotmill.coordination.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.io.BaseEncoding;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * What one daemon asks another to do with the ledger.
 *
 * @param operation what to do
 * @param key the text of the key
 * @param nonce the text of the nonce
 * @param fingerprint of a claim: the text of the fingerprint
 * @param daemon of a claim: the runner's name
 * @param incarnation of a claim: the runner's incarnation
 * @param maximumAgeMillis of a claim: the window's age
 * @param futureSkewMillis of a claim: the window's skew
 * @param status of an outcome: the status
 * @param body of an outcome: the body in Base64
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

  /** What to do with the ledger. */
  enum Operation {
    CLAIM {
      @Override
      CompletionStage<LedgerAnswer> apply(LedgerRequest request, Claims ledger) {
        return ledger.claim(request.claimRequest()).thenApply(LedgerAnswer::of);
      }
    },
    COMPLETE {
      @Override
      CompletionStage<LedgerAnswer> apply(LedgerRequest request, Claims ledger) {
        RecordedOutcome outcome =
            new RecordedOutcome(request.status(), BaseEncoding.base64().decode(request.body()));
        return ledger
            .complete(request.ledgerKey(), request.claimNonce(), outcome)
            .thenApply(LedgerAnswer::of);
      }
    },
    WITHDRAW {
      @Override
      CompletionStage<LedgerAnswer> apply(LedgerRequest request, Claims ledger) {
        return ledger
            .withdraw(request.ledgerKey(), request.claimNonce())
            .thenApply(LedgerAnswer::of);
      }
    };

    abstract CompletionStage<LedgerAnswer> apply(LedgerRequest request, Claims ledger);
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

  CompletionStage<LedgerAnswer> applyTo(Claims ledger) {
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
