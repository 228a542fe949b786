package dev.apricotmill.protocol;

import java.io.IOException;

/** Thrown when a peer's parts join to more than the bound. */
final class OversizedMessageException extends IOException {

  private static final long serialVersionUID = 1;

  OversizedMessageException(long bytes, long maximumBytes) {
    super("message of " + bytes + " bytes or more exceeds " + maximumBytes);
  }
}
