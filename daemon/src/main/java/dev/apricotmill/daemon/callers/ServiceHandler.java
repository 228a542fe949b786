package dev.apricotmill.daemon.callers;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.RequestEntry;
import java.time.Duration;

/** Handles calls to plain services by relaying them to a back-end server. */
final class ServiceHandler {

  private final RequestEntry entry;
  private final Duration maximumTimeLimit;

  ServiceHandler(RequestEntry entry, Duration maximumTimeLimit) {
    this.entry = entry;
    this.maximumTimeLimit = maximumTimeLimit;
  }

  void handle(RequestId id, IncomingRequest request, ResponseSender sender)
      throws ClientErrorException {
    RequestMetadata metadata = RequestMetadata.read(request, maximumTimeLimit);
    ServicePath path =
        ServicePath.parse(request.path())
            .orElseThrow(() -> new ClientErrorException(ClientError.BAD_PATH, ""));
    CallSubmission submission =
        new CallSubmission(
            id,
            metadata.customerKey(),
            path.service(),
            request.method(),
            path.path(),
            RelayHeaders.forService(request.headers()),
            request.body(),
            metadata.timeLimit(),
            metadata.idempotencyKey(),
            metadata.traceParent());
    entry.call(submission).thenAccept(result -> sender.send(responseOf(result)));
  }

  private static CompleteResponse responseOf(CallResponse result) {
    if (result.response().isEmpty()) {
      return ProblemDetails.of(result.request(), result.outcome(), result.hops());
    }
    CallResult.Response response = result.response().get();
    ImmutableMap.Builder<String, String> headers =
        ImmutableMap.<String, String>builder()
            .putAll(RelayHeaders.forCaller(response.headers()))
            .put(CallerHeaders.REQUEST_ID, result.request().value())
            .put(CallerHeaders.OUTCOME, result.outcome().headerValue())
            .put(CallerHeaders.HOPS, String.join(",", result.hops()));
    if (result.replayed()) {
      headers.put(CallerHeaders.REPLAYED, "true");
    }
    return new CompleteResponse(response.status(), headers.buildOrThrow(), response.body());
  }
}
