package dev.apricotmill.daemon.http;

import org.apache.hc.core5.http.message.BasicHttpRequest;

/** Placeholder for a request whose head could not be parsed, so that it still gets a response. */
final class UnparsableRequest extends BasicHttpRequest {

  private static final long serialVersionUID = 1;

  private final EarlyRefusal refusal;

  UnparsableRequest(EarlyRefusal refusal) {
    super("GET", "/");
    this.refusal = refusal;
    setHeader("Connection", "close");
    setHeader("Host", "localhost");
  }

  EarlyRefusal refusal() {
    return refusal;
  }
}
