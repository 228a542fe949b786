package dev.apricotmill.daemon.callers;

/** Thrown while a request is read to leave with the fault that was found. */
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

  /** Returns the header or field that is wrong, empty if it is the whole request. */
  String location() {
    return location;
  }
}
