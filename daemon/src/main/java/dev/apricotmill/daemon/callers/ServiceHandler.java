package dev.apricotmill.daemon.callers;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.daemon.http.Answer;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.Reply;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.RequestEntry;
import java.time.Duration;

/** Relays calls of plain services. */
final class ServiceHandler {

  private final RequestEntry entry;
  private final Duration maximumTimeLimit;

  ServiceHandler(RequestEntry entry, Duration maximumTimeLimit) {
    this.entry = entry;
    this.maximumTimeLimit = maximumTimeLimit;
  }

  void handle(RequestId id, IncomingRequest request, Reply reply) throws CallerFaultException {
    CallerCredentials credentials = CallerCredentials.read(request, maximumTimeLimit);
    ServicePath path =
        ServicePath.parse(request.path())
            .orElseThrow(() -> new CallerFaultException(CallerFault.BAD_PATH, ""));
    CallSubmission submission =
        new CallSubmission(
            id,
            credentials.customerKey(),
            path.service(),
            request.method(),
            path.path(),
            RelayHeaders.towardsService(request.headers()),
            request.body(),
            credentials.timeLimit(),
            credentials.idempotencyKey(),
            credentials.traceParent());
    entry.call(submission).thenAccept(answer -> reply.send(answerOf(answer)));
  }

  private static Answer answerOf(CallResponse answer) {
    if (answer.response().isEmpty()) {
      return Problems.of(answer.request(), answer.outcome(), answer.hops());
    }
    CallResult.Response response = answer.response().get();
    ImmutableMap.Builder<String, String> headers =
        ImmutableMap.<String, String>builder()
            .putAll(RelayHeaders.towardsCaller(response.headers()))
            .put(CallerHeaders.REQUEST_ID, answer.request().value())
            .put(CallerHeaders.OUTCOME, answer.outcome().headerValue())
            .put(CallerHeaders.HOPS, String.join(",", answer.hops()));
    if (answer.replayed()) {
      headers.put(CallerHeaders.REPLAYED, "true");
    }
    return new Answer(response.status(), headers.buildOrThrow(), response.body());
  }
}
