package dev.apricotmill.daemon.callers;

import com.google.common.base.Ascii;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Filters the headers that the relay forwards, in both directions. */
final class RelayHeaders {

  /** Hop-by-hop headers and other headers that each hop sets itself. */
  private static final ImmutableSet<String> HOP_BY_HOP =
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

  /** Headers for the daemon itself, and headers that override the method that rules checked. */
  private static final ImmutableSet<String> NOT_FOR_SERVICE =
      ImmutableSet.of(
          CallerHeaders.AUTHORIZATION,
          CallerHeaders.REQUEST_TIMEOUT,
          "x-http-method-override",
          "x-http-method",
          "x-method-override");

  private RelayHeaders() {}

  /** Returns the request headers to forward to the service. */
  static ImmutableMap<String, String> forService(ImmutableMap<String, String> headers) {
    return filter(headers, NOT_FOR_SERVICE);
  }

  /** Returns the response headers to forward to the caller. */
  static ImmutableMap<String, String> forCaller(ImmutableMap<String, String> headers) {
    return filter(headers, ImmutableSet.of());
  }

  private static ImmutableMap<String, String> filter(
      ImmutableMap<String, String> headers, ImmutableSet<String> excluded) {
    Set<String> connectionOptions = new HashSet<>();
    Splitter.on(',')
        .trimResults()
        .split(headers.getOrDefault("connection", ""))
        .forEach(name -> connectionOptions.add(Ascii.toLowerCase(name)));
    ImmutableMap.Builder<String, String> forwarded = ImmutableMap.builder();
    for (Map.Entry<String, String> header : headers.entrySet()) {
      String name = header.getKey();
      if (!HOP_BY_HOP.contains(name)
          && !excluded.contains(name)
          && !connectionOptions.contains(name)
          && !name.startsWith("apricotmill-")) {
        forwarded.put(header);
      }
    }
    return forwarded.buildOrThrow();
  }
}
