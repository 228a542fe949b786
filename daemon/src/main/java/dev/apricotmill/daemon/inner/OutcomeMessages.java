package dev.apricotmill.daemon.inner;

import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.protocol.generated.Answered;
import dev.apricotmill.protocol.generated.Failed;
import dev.apricotmill.protocol.generated.Refused;
import dev.apricotmill.protocol.generated.Unknown;
import java.time.Duration;

/** Maps request outcomes to messages and back. */
final class OutcomeMessages {

  private static final int MINIMUM_STATUS = 200;
  private static final int MAXIMUM_STATUS = 599;

  private OutcomeMessages() {}

  static dev.apricotmill.protocol.generated.Outcome toMessage(Outcome outcome) {
    var message = dev.apricotmill.protocol.generated.Outcome.newBuilder();
    if (outcome instanceof Outcome.Answered answered) {
      message.setAnswered(Answered.newBuilder().setStatus(answered.status()));
    } else if (outcome instanceof Outcome.Refused refused) {
      message.setRefused(
          Refused.newBuilder()
              .setReason(refused.reason().name())
              .setRetryAfterNanos(refused.retryAfter().toNanos()));
    } else if (outcome instanceof Outcome.Failed failed) {
      message.setFailed(Failed.newBuilder().setReason(failed.reason().name()));
    } else if (outcome instanceof Outcome.Unknown unknown) {
      message.setUnknown(Unknown.newBuilder().setReason(unknown.reason().name()));
    }
    return message.build();
  }

  static Outcome fromMessage(dev.apricotmill.protocol.generated.Outcome message)
      throws MalformedMessageException {
    return switch (message.getKindCase()) {
      case ANSWERED -> answered(message.getAnswered());
      case REFUSED -> refused(message.getRefused());
      case FAILED ->
          new Outcome.Failed(
              EnumMessages.named(FailureReason.class, message.getFailed().getReason()));
      case UNKNOWN ->
          new Outcome.Unknown(
              EnumMessages.named(UnknownReason.class, message.getUnknown().getReason()));
      case KIND_NOT_SET -> throw new MalformedMessageException("outcome without a kind");
    };
  }

  private static Outcome answered(Answered message) throws MalformedMessageException {
    int status = message.getStatus();
    if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
      throw new MalformedMessageException("status of no final response: " + status);
    }
    return new Outcome.Answered(status);
  }

  private static Outcome refused(Refused message) throws MalformedMessageException {
    return new Outcome.Refused(
        EnumMessages.named(RefusalReason.class, message.getReason()),
        Duration.ofNanos(message.getRetryAfterNanos()));
  }
}
