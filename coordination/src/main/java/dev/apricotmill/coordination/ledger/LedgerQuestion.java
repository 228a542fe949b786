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
record LedgerQuestion(
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
      CompletionStage<LedgerAnswer> ask(LedgerQuestion question, Claims ledger) {
        return ledger.claim(question.claimRequest()).thenApply(LedgerAnswer::of);
      }
    },
    COMPLETE {
      @Override
      CompletionStage<LedgerAnswer> ask(LedgerQuestion question, Claims ledger) {
        RecordedOutcome outcome =
            new RecordedOutcome(question.status(), BaseEncoding.base64().decode(question.body()));
        return ledger
            .complete(question.ledgerKey(), question.claimNonce(), outcome)
            .thenApply(LedgerAnswer::of);
      }
    },
    WITHDRAW {
      @Override
      CompletionStage<LedgerAnswer> ask(LedgerQuestion question, Claims ledger) {
        return ledger
            .withdraw(question.ledgerKey(), question.claimNonce())
            .thenApply(LedgerAnswer::of);
      }
    };

    abstract CompletionStage<LedgerAnswer> ask(LedgerQuestion question, Claims ledger);
  }

  static LedgerQuestion claim(ClaimRequest request) {
    return new LedgerQuestion(
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

  static LedgerQuestion complete(LedgerKey key, ClaimNonce nonce, RecordedOutcome outcome) {
    String body = BaseEncoding.base64().encode(outcome.body());
    return new LedgerQuestion(
        Operation.COMPLETE, key.text(), nonce.text(), "", "", 0, 0, 0, outcome.status(), body);
  }

  static LedgerQuestion withdraw(LedgerKey key, ClaimNonce nonce) {
    return new LedgerQuestion(Operation.WITHDRAW, key.text(), nonce.text(), "", "", 0, 0, 0, 0, "");
  }

  CompletionStage<LedgerAnswer> askOf(Claims ledger) {
    return operation.ask(this, ledger);
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
