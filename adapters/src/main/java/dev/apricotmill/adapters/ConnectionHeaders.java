package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableSet;

/** Names the headers that belong to one connection or to the framing and are never passed on. */
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
