package dev.apricotmill.coordination.platform;

/** Why the platform gave no usable response. */
public enum PlatformFailure {
  /** No connection could be made; the request did not reach the platform. */
  UNREACHABLE,
  /** The connection was lost or the response did not arrive in time. */
  NO_ANSWER,
  /** The response was still arriving when the time for it ran out. */
  INCOMPLETE_ANSWER,
  /** The platform rejected the call because of its rate limit. */
  RATE_LIMITED,
  /** The platform responded that it is currently unavailable. */
  OUT_OF_SERVICE,
  /** The value is larger than the platform accepts. */
  TOO_LARGE,
  /** The response could not be parsed. */
  MALFORMED_ANSWER
}
