package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;

/** Logs the decisions on one request, one line each. */
final class CallLog {

  /** The status of a request whose caller left before it was told one. */
  static final int NO_STATUS = 0;

  private final RelayNode node;
  private final RequestId request;
  private final ImmutableList<String> promptParts;
  private String lastServer = "";

  CallLog(RelayNode node, RelayRequest request) {
    this.node = node;
    this.request = request.id();
    promptParts = request.promptParts().ids();
  }

  /** Logs that the request is sent to a server. */
  void sent(
      BackendServer server,
      ServiceName service,
      ImmutableList<BackendClient.Helper> helpers,
      int attemptNumber,
      Duration remaining,
      Duration expected) {
    lastServer = server.id().value();
    node.log(
        "relay.sent",
        request,
        ImmutableMap.of(
            "server", lastServer,
            "address", server.address().toString(),
            "service", service.value(),
            "helpers", helpers.stream().map(helper -> helper.address().toString()).toList(),
            "send", attemptNumber,
            "left_ms", remaining.toMillis(),
            "expected_ms", expected.toMillis(),
            "configuration",
                node.view()
                    .configuration()
                    .map(configuration -> configuration.version())
                    .orElse(0L)));
  }

  /** Logs that a server is silent, so that another one is tried as well. */
  void serverSilent(BackendAttempt attempt, Duration remaining) {
    node.log(
        "relay.server_silent",
        request,
        ImmutableMap.of(
            "server", attempt.server().id().value(),
            "response_begun", attempt.hasResponseBegun(),
            "left_ms", remaining.toMillis()));
  }

  /** Logs that a server has written again while others were tried. */
  void serverWritesAgain(BackendAttempt attempt, Duration remaining) {
    node.log(
        "relay.server_writes_again",
        request,
        ImmutableMap.of("server", attempt.server().id().value(), "left_ms", remaining.toMillis()));
  }

  /** Logs that an attempt has failed, and whether its response had begun. */
  void attemptFailed(BackendAttempt attempt, String reason, Duration remaining) {
    node.log(
        "relay.send_failed",
        request,
        ImmutableMap.of(
            "server", attempt.server().id().value(),
            "reason", reason,
            "response_begun", attempt.hasResponseBegun(),
            "left_ms", remaining.toMillis(),
            "prompt_parts", promptParts));
  }

  /**
   * How a request ended.
   *
   * @param outcome the name of the refusal, or what else ended it
   * @param status the status that the caller was told; {@link #NO_STATUS} if it had left
   * @param attempts the number of attempts of which a byte may have been sent
   * @param mayHaveRun whether a server may have run it
   * @param tookNanos the time since it arrived
   */
  record Ending(String outcome, int status, int attempts, boolean mayHaveRun, long tookNanos) {}

  /** Logs the end of the request: its final response, or the caller's disconnect. */
  void ended(Ending ending, Route route, RelayResponse response, long arrivedNanos) {
    node.log(
        "relay.ended",
        request,
        ImmutableMap.<String, Object>builder()
            .put("outcome", ending.outcome())
            .put("status", ending.status())
            .put("server", lastServer)
            .put("route", route.name())
            .put("sends", ending.attempts())
            .put("may_have_run", ending.mayHaveRun())
            .put("first_event_ms", response.firstEventMillis(arrivedNanos))
            .put("longest_pause_ms", response.longestEventGapMillis())
            .put("took_ms", Duration.ofNanos(ending.tookNanos()).toMillis())
            .put("prompt_parts", promptParts)
            .buildOrThrow());
  }
}
