package dev.apricotmill.adapters;

import java.io.IOException;

/** A line of a response is not of the syntax of HTTP/1.1. */
final class MalformedResponseException extends IOException {

  private static final long serialVersionUID = 1L;

  MalformedResponseException(String message) {
    super(message);
  }
}
