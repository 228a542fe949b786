package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableSet;

/** The headers that apply to one connection or to message framing and are never forwarded. */
final class ConnectionHeaders {

  private static final ImmutableSet<String> NAMES =
      ImmutableSet.of(
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private ConnectionHeaders() {}

  static boolean contains(String lowerCaseName) {
    return NAMES.contains(lowerCaseName);
  }
}
