package dev.apricotmill.coordination.platform;

/** Why the platform gave no usable answer. */
public enum PlatformFailure {
  /** No connection could be made; the request did not reach the platform. */
  UNREACHABLE,
  /** The connection broke or the answer did not come in time. */
  NO_ANSWER,
  /** The platform refused the call because of its rate limit. */
  RATE_LIMITED,
  /** The platform answered that it cannot serve now. */
  OUT_OF_SERVICE,
  /** The value is larger than the platform takes. */
  TOO_LARGE,
  /** The answer could not be understood. */
  MALFORMED_ANSWER
}
