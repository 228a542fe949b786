package dev.apricotmill.node.call;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.ledger.RecordedOutcome;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.service.CallResult;
import java.io.IOException;
import java.util.Map;

/** Converts the outcome of a call to the form that is stored in the ledger, and back. */
final class CallOutcomeCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final byte[] NO_BODY = new byte[0];

  private CallOutcomeCodec() {}

  /** The kinds of stored outcomes, with their codes in the ledger. */
  private enum Kind {
    ANSWER(0),
    ANSWER_NOT_KEPT(1),
    UNKNOWN(2);

    private final int code;

    Kind(int code) {
      this.code = code;
    }
  }

  /** The stored form of a response, as JSON. */
  @SuppressWarnings("ArrayRecordComponent")
  private record StoredAnswer(int status, Map<String, String> headers, byte[] body) {}

  static RecordedOutcome encode(CallResult.Response response) {
    try {
      byte[] encoded =
          MAPPER.writeValueAsBytes(
              new StoredAnswer(response.status(), response.headers(), response.body()));
      return encoded.length <= RecordedOutcome.MAX_BODY_BYTES
          ? new RecordedOutcome(Kind.ANSWER.code, encoded)
          : new RecordedOutcome(Kind.ANSWER_NOT_KEPT.code, NO_BODY);
    } catch (JsonProcessingException unexpected) {
      throw new IllegalStateException(
          "cannot encode the response for the ledger: status "
              + response.status()
              + ", "
              + response.body().length
              + " body bytes",
          unexpected);
    }
  }

  static RecordedOutcome encodeUnknown() {
    return new RecordedOutcome(Kind.UNKNOWN.code, NO_BODY);
  }

  static CompletedCall decode(RecordedOutcome recorded) {
    if (recorded.status() == Kind.ANSWER.code) {
      return decodeAnswer(recorded.body());
    }
    return CompletedCall.repeatWithoutResponse(
        recorded.status() == Kind.ANSWER_NOT_KEPT.code
            ? new Outcome.Failed(FailureReason.ANSWER_NOT_KEPT)
            : new Outcome.Unknown(UnknownReason.BACKEND_SILENT));
  }

  private static CompletedCall decodeAnswer(byte[] stored) {
    try {
      StoredAnswer answer = MAPPER.readValue(stored, StoredAnswer.class);
      return CompletedCall.replayed(
          new CallResult.Response(
              answer.status(), ImmutableMap.copyOf(answer.headers()), answer.body()));
    } catch (IOException unreadable) {
      return CompletedCall.repeatWithoutResponse(new Outcome.Failed(FailureReason.ANSWER_NOT_KEPT));
    }
  }
}
