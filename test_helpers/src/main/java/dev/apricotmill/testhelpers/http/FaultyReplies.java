package dev.apricotmill.testhelpers.http;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.testhelpers.fault.Fault;
import java.time.Duration;
import java.util.function.Supplier;

/** Serves whole answers with the fault that is set for the call. */
public final class FaultyReplies {

  private final Timing timing;
  private final Duration lateness;
  private final StandInAnswer refusal;

  /**
   * Creates it.
   *
   * @param timing when late answers are sent
   * @param lateness how much later a late answer comes
   * @param refusal the answer by which the stand-in says that nothing took effect
   */
  public FaultyReplies(Timing timing, Duration lateness, StandInAnswer refusal) {
    this.timing = timing;
    this.lateness = lateness;
    this.refusal = refusal;
  }

  /** Brings about the effect and answers, as far as {@code fault} lets it. */
  public void serve(Fault fault, Supplier<StandInAnswer> effect, StandInReply reply) {
    if (fault == Fault.LOST_BEFORE_EFFECT) {
      return;
    }
    if (fault == Fault.REFUSED) {
      reply.send(refusal);
      return;
    }
    StandInAnswer answer = effect.get();
    switch (fault) {
      case LOST_AFTER_EFFECT -> {}
      case ERROR -> reply.send(StandInAnswer.json(500, "{\"error\":\"internal\"}"));
      case LATE -> timing.schedule(lateness, () -> reply.send(answer));
      default -> reply.send(answer, fault);
    }
  }
}
