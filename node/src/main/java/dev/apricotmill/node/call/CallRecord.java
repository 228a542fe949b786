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

/** Turns the outcome of a call into what the ledger keeps of it, and back. */
final class CallRecord {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final byte[] NO_BODY = new byte[0];

  private CallRecord() {}

  /** What the ledger keeps, with the number that stands for it there. */
  private enum Kind {
    ANSWER(0),
    ANSWER_NOT_KEPT(1),
    UNKNOWN(2);

    private final int code;

    Kind(int code) {
      this.code = code;
    }
  }

  /** The stored form of an answer. */
  @SuppressWarnings("ArrayRecordComponent")
  private record StoredAnswer(int status, Map<String, String> headers, byte[] body) {}

  static RecordedOutcome of(CallResult.Response response) {
    try {
      byte[] stored =
          MAPPER.writeValueAsBytes(
              new StoredAnswer(response.status(), response.headers(), response.body()));
      return stored.length <= RecordedOutcome.MAX_BODY_BYTES
          ? new RecordedOutcome(Kind.ANSWER.code, stored)
          : new RecordedOutcome(Kind.ANSWER_NOT_KEPT.code, NO_BODY);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("an answer cannot be encoded", impossible);
    }
  }

  static RecordedOutcome unknown() {
    return new RecordedOutcome(Kind.UNKNOWN.code, NO_BODY);
  }

  static CallConclusion replay(RecordedOutcome recorded) {
    if (recorded.status() == Kind.ANSWER.code) {
      return replayAnswer(recorded.body());
    }
    return CallConclusion.repeated(
        recorded.status() == Kind.ANSWER_NOT_KEPT.code
            ? new Outcome.Failed(FailureReason.ANSWER_NOT_KEPT)
            : new Outcome.Unknown(UnknownReason.BACKEND_SILENT));
  }

  private static CallConclusion replayAnswer(byte[] stored) {
    try {
      StoredAnswer answer = MAPPER.readValue(stored, StoredAnswer.class);
      return CallConclusion.replayed(
          new CallResult.Response(
              answer.status(), ImmutableMap.copyOf(answer.headers()), answer.body()));
    } catch (IOException unreadable) {
      return CallConclusion.repeated(new Outcome.Failed(FailureReason.ANSWER_NOT_KEPT));
    }
  }
}
