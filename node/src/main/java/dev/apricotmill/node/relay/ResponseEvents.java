package dev.apricotmill.node.relay;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;

/** Logs the responses of backend servers that cannot be used for the request that waits for one. */
public final class ResponseEvents {

  private static final int MAXIMUM_LOGGED_CHARACTERS = 64;

  private final EventLog log;

  /** Creates a log of responses that writes its lines to {@code log}. */
  public ResponseEvents(EventLog log) {
    this.log = log;
  }

  /**
   * Logs a response that cannot be used.
   *
   * @param waiting the request to which a response was due
   * @param failure why the response cannot be used
   */
  public void rejected(
      BackendClient.BackendRequest waiting, ResponseOrigin origin, BackendFailure failure) {
    ImmutableMap.Builder<String, Object> fields =
        ImmutableMap.<String, Object>builder()
            .put("request", waiting.request().id().value())
            .put("server", waiting.server().id().value())
            .put("address", waiting.server().address().toString())
            .put("status", origin.status());
    if (failure == BackendFailure.MISMATCHED) {
      fields.put("response_to", shortened(origin.responseTo().orElse("")));
      log.write("relay.mismatched_response", fields.buildOrThrow());
    } else {
      fields
          .put("reason", failure.name())
          .put("signatures", origin.signatures().size())
          .put("content_encoding", shortened(String.join(", ", origin.contentEncodings())));
      log.write("relay.unverified_response", fields.buildOrThrow());
    }
  }

  /** Logs a second response to a request, which was skipped. */
  public void late(String request, int status) {
    log.write(
        "relay.late_response", ImmutableMap.of("request", shortened(request), "status", status));
  }

  private static String shortened(String value) {
    return Ascii.truncate(value, MAXIMUM_LOGGED_CHARACTERS, "...");
  }
}
