package dev.apricotmill.core.configuration;

import java.time.Duration;

/**
 * Form and retention of the idempotency keys of a service.
 *
 * @param form the form of the keys
 * @param window how long a key is remembered; older keys are refused
 */
public record KeyPolicy(Form form, Duration window) {

  /** The form of idempotency keys. */
  public enum Form {
    /** UUID version 7 (RFC 9562), which carries its creation time. */
    TIMED,
    /**
     * Any text. A retry after the window would run again, so the window must outlast the callers'
     * retries.
     */
    OPAQUE
  }
}
