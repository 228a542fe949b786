package dev.apricotmill.daemon.callers;

/** Thrown when a request is refused because of an error of the caller. */
final class ClientErrorException extends Exception {

  private static final long serialVersionUID = 1;

  private final ClientError error;
  private final String location;

  ClientErrorException(ClientError error, String location) {
    super(error.detail());
    this.error = error;
    this.location = location;
  }

  ClientError error() {
    return error;
  }

  /** Returns the invalid field or what is wrong with the body; empty if there is no more to say. */
  String location() {
    return location;
  }
}
