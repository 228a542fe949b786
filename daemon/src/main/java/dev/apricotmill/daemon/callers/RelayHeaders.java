package dev.apricotmill.daemon.callers;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Chooses the headers that a relay passes on, in either direction. */
final class RelayHeaders {

  private static final ImmutableSet<String> OF_ONE_HOP =
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
          "upgrade",
          "date");

  /** Headers that are meant for the daemon, or would let a call pass for another method. */
  private static final ImmutableSet<String> OF_THE_DAEMON =
      ImmutableSet.of(
          CallerHeaders.AUTHORIZATION,
          CallerHeaders.REQUEST_TIMEOUT,
          "x-http-method-override",
          "x-http-method",
          "x-method-override");

  private RelayHeaders() {}

  /** Returns the headers that go on to the service. */
  static ImmutableMap<String, String> towardsService(ImmutableMap<String, String> headers) {
    return keep(headers, OF_THE_DAEMON);
  }

  /** Returns the headers that go back to the caller. */
  static ImmutableMap<String, String> towardsCaller(ImmutableMap<String, String> headers) {
    return keep(headers, ImmutableSet.of());
  }

  private static ImmutableMap<String, String> keep(
      ImmutableMap<String, String> headers, ImmutableSet<String> dropped) {
    Set<String> named = new HashSet<>();
    Splitter.on(',')
        .trimResults()
        .split(headers.getOrDefault("connection", ""))
        .forEach(name -> named.add(Ascii.toLowerCase(name)));
    ImmutableMap.Builder<String, String> kept = ImmutableMap.builder();
    for (Map.Entry<String, String> header : headers.entrySet()) {
      String name = header.getKey();
      if (!OF_ONE_HOP.contains(name)
          && !dropped.contains(name)
          && !named.contains(name)
          && !name.startsWith("apricotmill-")) {
        kept.put(header);
      }
    }
    return kept.buildOrThrow();
  }
}
