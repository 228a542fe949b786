package dev.apricotmill.adapters;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** Tells why an exchange with the platform gave no usable answer. */
final class PlatformFailures {

  private PlatformFailures() {}

  static PlatformFailure of(ExchangeResult result) {
    if (result instanceof ExchangeResult.NotSent) {
      return PlatformFailure.UNREACHABLE;
    }
    if (result instanceof ExchangeResult.Interrupted interrupted) {
      return switch (interrupted.failure()) {
        case CONNECTION_LOST, TIMEOUT -> PlatformFailure.NO_ANSWER;
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
   * Returns whether an answer with this failure proves that a write had no effect. An answer that
   * the store is out of service does not: a relay may have given it after the write.
   */
  static boolean provesNotWritten(PlatformFailure failure) {
    return failure == PlatformFailure.RATE_LIMITED || failure == PlatformFailure.TOO_LARGE;
  }
}
