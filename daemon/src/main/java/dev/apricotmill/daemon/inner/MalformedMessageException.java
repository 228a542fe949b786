package dev.apricotmill.daemon.inner;

/** Thrown when a peer's message cannot be mapped to a valid value. */
final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1;

  MalformedMessageException(String message) {
    super(message);
  }

  MalformedMessageException(IllegalArgumentException cause) {
    super(cause.getMessage(), cause);
  }
}
