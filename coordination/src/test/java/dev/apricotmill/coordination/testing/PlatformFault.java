package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.platform.PlatformFailure;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A fault that can be injected into a call to {@link FakePlatform}. */
public enum PlatformFault {
  /** No connection: the platform is down or partitioned from the caller. */
  UNREACHABLE(PlatformFailure.UNREACHABLE, Effect.NEVER, false),
  /** The platform responds that it is currently unavailable. */
  OUT_OF_SERVICE(PlatformFailure.OUT_OF_SERVICE, Effect.NEVER, false),
  /** The platform rejects the call because of its rate limit. */
  RATE_LIMITED(PlatformFailure.RATE_LIMITED, Effect.NEVER, false),
  /** The call takes effect after {@link FakePlatform#setSlowDelay}; the response follows. */
  SLOW(null, Effect.LATE, true),
  /** The call takes effect without delay, and its response is lost. */
  ANSWER_LOST(null, Effect.IMMEDIATE, false),
  /** The request is lost; the caller cannot distinguish this from a lost response. */
  REQUEST_LOST(null, Effect.NEVER, false),
  /**
   * The call takes effect after {@link FakePlatform#setSlowDelay}, by default after the caller's
   * timeout; its response is lost.
   */
  DELAYED_WRITE(null, Effect.LATE, false);

  private final @Nullable PlatformFailure refusal;
  private final Effect effect;
  private final boolean answered;

  PlatformFault(@Nullable PlatformFailure refusal, Effect effect, boolean answered) {
    this.refusal = refusal;
    this.effect = effect;
    this.answered = answered;
  }

  /** Returns the failure reported to the caller, empty if the call is not refused. */
  public Optional<PlatformFailure> refusal() {
    return Optional.ofNullable(refusal);
  }

  Effect effect() {
    return effect;
  }

  boolean isAnswered() {
    return answered;
  }

  /** When a call takes effect. */
  enum Effect {
    IMMEDIATE,
    LATE,
    NEVER
  }
}
