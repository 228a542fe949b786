package dev.apricotmill.node.relay;

/** Why an attempt to send a request to a backend server ended without a complete response. */
public enum BackendFailure {
  /** The connection could not be opened, or was lost. */
  CONNECTION_LOST("CONNECTION_LOST", true),
  /** The response ended within an event of its stream. */
  ENDED_WITHIN_EVENT("ended within an event", true),
  /** The server responded with an error where a stream had begun. */
  NOT_A_STREAM("not a stream", false),
  /** The timeout passed before any byte of a response arrived. */
  TIMEOUT("TIMEOUT", false),
  /** The timeout passed while a response was arriving. */
  INCOMPLETE("INCOMPLETE", false),
  /** The server sent nothing for too long. */
  SILENT("silent", false),
  /** The response exceeded the size limit of the transport. */
  OVERSIZE("OVERSIZE", false),
  /** The response, or one of its events, is too long. */
  TOO_LONG("answer too long", false),
  /** The response does not fit into the memory for responses of all servers. */
  NO_BUFFER("no buffer left", false),
  /** The events of the response are not in order. */
  OUT_OF_ORDER("events out of order", false),
  /** The response was malformed. */
  MALFORMED("MALFORMED", false),
  /** The response belongs to another request. */
  MISMATCHED("the response belongs to another request", false),
  /** The response is a success that does not have exactly one signature of its server. */
  UNSIGNED("the response is not signed", false),
  /** The response is a success whose body is encoded, which the request did not ask for. */
  ENCODED("the response is encoded", false);

  private final String logValue;
  private final boolean possibleCrash;

  BackendFailure(String logValue, boolean possibleCrash) {
    this.logValue = logValue;
    this.possibleCrash = possibleCrash;
  }

  /** Returns the value in log lines. */
  String logValue() {
    return logValue;
  }

  /** Returns whether the server may have ended, with all that it ran. */
  boolean isPossibleCrash() {
    return possibleCrash;
  }
}
