package dev.apricotmill.node.relay;

import com.google.common.base.Ascii;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableMap;
import org.jspecify.annotations.Nullable;

/** Logs the responses of backend servers that do not belong to the request that waits for one. */
public final class ResponseEvents {

  private static final int MAXIMUM_LOGGED_CHARACTERS = 64;

  private final EventLog log;

  /** Creates a log of responses that writes its lines to {@code log}. */
  public ResponseEvents(EventLog log) {
    this.log = log;
  }

  /**
   * Logs a response to another request, where the response to this one was due.
   *
   * @param responseTo the request that the response names, if any
   */
  public void mismatched(
      BackendClient.BackendRequest waiting, int status, @Nullable String responseTo) {
    log.write(
        "relay.mismatched_response",
        ImmutableMap.of(
            "request", waiting.request().id().value(),
            "server", waiting.server().id().value(),
            "address", waiting.server().address().toString(),
            "status", status,
            "response_to", shortened(responseTo)));
  }

  /** Logs a second response to a request, which was skipped. */
  public void late(String request, int status) {
    log.write(
        "relay.late_response", ImmutableMap.of("request", shortened(request), "status", status));
  }

  private static String shortened(@Nullable String request) {
    return Ascii.truncate(Strings.nullToEmpty(request), MAXIMUM_LOGGED_CHARACTERS, "...");
  }
}
