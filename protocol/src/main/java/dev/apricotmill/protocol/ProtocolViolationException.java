package dev.apricotmill.protocol;

import java.io.IOException;

/** Thrown when a peer sends a frame that the protocol does not allow. */
final class ProtocolViolationException extends IOException {

  private static final long serialVersionUID = 1;

  ProtocolViolationException(String message) {
    super(message);
  }
}
