package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.platform.PlatformFailure;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** What goes wrong with a call on {@link FakePlatform}. */
public enum PlatformFault {
  /** No connection: the platform is down or cut off. */
  UNREACHABLE(PlatformFailure.UNREACHABLE, Effect.NEVER, false),
  /** The platform answers that it cannot serve. */
  OUT_OF_SERVICE(PlatformFailure.OUT_OF_SERVICE, Effect.NEVER, false),
  /** The platform refuses the call because of its rate limit. */
  RATE_LIMITED(PlatformFailure.RATE_LIMITED, Effect.NEVER, false),
  /** The call takes effect and is answered after {@link FakePlatform#setSlowDelay}. */
  SLOW(null, Effect.LATE, true),
  /** The call takes effect at once, and its answer is lost. */
  ANSWER_LOST(null, Effect.IMMEDIATE, false),
  /** The request is lost; the caller cannot tell this from a lost answer. */
  REQUEST_LOST(null, Effect.NEVER, false),
  /** The call takes effect after the caller got its {@code Indeterminate}; no answer comes. */
  DELAYED_WRITE(null, Effect.LATE, false);

  private final @Nullable PlatformFailure refusal;
  private final Effect effect;
  private final boolean answered;

  PlatformFault(@Nullable PlatformFailure refusal, Effect effect, boolean answered) {
    this.refusal = refusal;
    this.effect = effect;
    this.answered = answered;
  }

  /** Returns the failure that the caller is told, empty if it is told nothing. */
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
