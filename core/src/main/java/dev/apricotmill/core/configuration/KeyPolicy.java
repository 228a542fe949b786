package dev.apricotmill.core.configuration;

import java.time.Duration;

/**
 * How idempotency keys of a service are read and remembered.
 *
 * @param form the form of the keys
 * @param window how long a key is remembered; an older one is refused as too old
 */
public record KeyPolicy(Form form, Duration window) {

  /** The form of idempotency keys. */
  public enum Form {
    /** UUID version 7 (RFC 9562), which carries its creation time. */
    TIMED,
    /** Any text; a repeat after the window would run again, so the window must outlast callers. */
    OPAQUE
  }
}
