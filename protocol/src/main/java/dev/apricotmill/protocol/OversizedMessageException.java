package dev.apricotmill.protocol;

import java.io.IOException;

/** Thrown when the parts received from a peer exceed a size limit. */
final class OversizedMessageException extends IOException {

  private static final long serialVersionUID = 1;

  OversizedMessageException(long bytes, long maximumBytes) {
    super("received " + bytes + " bytes of messages, limit is " + maximumBytes + " bytes");
  }
}
