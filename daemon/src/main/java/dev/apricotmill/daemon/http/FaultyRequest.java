package dev.apricotmill.daemon.http;

import org.apache.hc.core5.http.message.BasicHttpRequest;

/** Stands for a request whose head could not be parsed, so that it still gets a typed answer. */
final class FaultyRequest extends BasicHttpRequest {

  private static final long serialVersionUID = 1;

  private final EdgeFault fault;

  FaultyRequest(EdgeFault fault) {
    super("GET", "/");
    this.fault = fault;
    setHeader("Connection", "close");
    setHeader("Host", "localhost");
  }

  EdgeFault fault() {
    return fault;
  }
}
