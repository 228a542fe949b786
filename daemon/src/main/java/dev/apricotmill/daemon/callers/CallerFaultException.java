package dev.apricotmill.daemon.callers;

/** Thrown while a request is read to leave with the fault that was found. */
final class CallerFaultException extends Exception {

  private static final long serialVersionUID = 1;

  private final CallerFault fault;
  private final String place;

  CallerFaultException(CallerFault fault, String place) {
    super(fault.detail());
    this.fault = fault;
    this.place = place;
  }

  CallerFault fault() {
    return fault;
  }

  /** Returns the header or field that is wrong, empty if it is the whole request. */
  String place() {
    return place;
  }
}
