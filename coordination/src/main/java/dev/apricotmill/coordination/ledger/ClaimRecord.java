package dev.apricotmill.coordination.ledger;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.google.common.io.BaseEncoding;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;

/**
 * A claim as stored on the platform. It is encoded as a JSON array to keep the head small.
 *
 * @param key the idempotency key
 * @param fingerprint the fingerprint of the request
 * @param nonce the nonce of the attempt that made the claim
 * @param daemon the name of the daemon that may run the request
 * @param incarnation the incarnation of that daemon
 * @param timeMillis the creation time of the key, or of the claim if the key has none
 * @param state the state of the claim
 * @param status the status of the outcome, 0 unless the claim is finished
 * @param body the body of the outcome in Base64, empty unless the claim is finished
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
  "key",
  "fingerprint",
  "nonce",
  "daemon",
  "incarnation",
  "timeMillis",
  "state",
  "status",
  "body"
})
record ClaimRecord(
    String key,
    String fingerprint,
    String nonce,
    String daemon,
    long incarnation,
    long timeMillis,
    ClaimState state,
    int status,
    String body) {

  static ClaimRecord running(ClaimRequest request, long timeMillis) {
    return new ClaimRecord(
        request.key().text(),
        request.fingerprint().text(),
        request.nonce().text(),
        request.runner().daemon().name(),
        request.runner().number(),
        timeMillis,
        ClaimState.RUNNING,
        0,
        "");
  }

  ClaimRecord finished(RecordedOutcome outcome) {
    return ended(
        ClaimState.FINISHED, outcome.status(), BaseEncoding.base64().encode(outcome.body()));
  }

  ClaimRecord withdrawn() {
    return ended(ClaimState.WITHDRAWN, 0, "");
  }

  @JsonIgnore
  LedgerKey ledgerKey() {
    return new LedgerKey(key);
  }

  @JsonIgnore
  Incarnation runner() {
    return new Incarnation(new DaemonId(daemon), incarnation);
  }

  @JsonIgnore
  RecordedOutcome outcome() {
    return new RecordedOutcome(status, BaseEncoding.base64().decode(body));
  }

  private ClaimRecord ended(ClaimState end, int endStatus, String endBody) {
    return new ClaimRecord(
        key, fingerprint, nonce, daemon, incarnation, timeMillis, end, endStatus, endBody);
  }
}
