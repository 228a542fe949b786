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

  private final RelayNode node;
  private final RequestId request;
  private final ImmutableList<String> promptParts;

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
    node.log(
        "relay.sent",
        request,
        ImmutableMap.of(
            "server", server.id().value(),
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

  /** Logs the end of the request: its final response, or the caller's disconnect. */
  void ended(
      String outcome,
      Route route,
      int attempts,
      boolean mayHaveRun,
      RelayResponse response,
      long arrivedNanos,
      long tookNanos) {
    node.log(
        "relay.ended",
        request,
        ImmutableMap.of(
            "outcome",
            outcome,
            "route",
            route.name(),
            "sends",
            attempts,
            "may_have_run",
            mayHaveRun,
            "first_event_ms",
            response.firstEventMillis(arrivedNanos),
            "longest_pause_ms",
            response.longestEventGapMillis(),
            "took_ms",
            Duration.ofNanos(tookNanos).toMillis(),
            "prompt_parts",
            promptParts));
  }
}
