package dev.apricotmill.adapters;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** Determines why an exchange with the platform gave no usable response. */
final class PlatformFailures {

  private PlatformFailures() {}

  static PlatformFailure of(ExchangeResult result) {
    if (result instanceof ExchangeResult.NotSent) {
      return PlatformFailure.UNREACHABLE;
    }
    if (result instanceof ExchangeResult.Interrupted interrupted) {
      return switch (interrupted.failure()) {
        case CONNECTION_LOST, TIMEOUT, INCOMPLETE -> PlatformFailure.NO_ANSWER;
        case OVERSIZE, MALFORMED -> PlatformFailure.MALFORMED_ANSWER;
      };
    }
    return ofStatus(((ExchangeResult.Response) result).status());
  }

  private static PlatformFailure ofStatus(int status) {
    return switch (status) {
      case 413 -> PlatformFailure.TOO_LARGE;
      case 429 -> PlatformFailure.RATE_LIMITED;
      default ->
          status / 100 == 5 ? PlatformFailure.OUT_OF_SERVICE : PlatformFailure.MALFORMED_ANSWER;
    };
  }

  /**
   * Returns whether a response with this failure proves that a write had no effect. A 5xx status
   * does not: a proxy may have sent it after the write took effect.
   */
  static boolean provesNotWritten(PlatformFailure failure) {
    return failure == PlatformFailure.RATE_LIMITED || failure == PlatformFailure.TOO_LARGE;
  }
}
