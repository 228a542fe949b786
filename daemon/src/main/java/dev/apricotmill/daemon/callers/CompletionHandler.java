package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.Reply;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.node.api.RequestEntry;
import java.time.Duration;
import java.time.InstantSource;

/** Answers completions requests of one form. */
final class CompletionHandler {

  /** Chunks of one streamed answer that may wait for the caller's socket. */
  static final long WINDOW_CHUNKS = 16;

  private final CompletionForm form;
  private final RequestEntry entry;
  private final InstantSource clock;
  private final Duration maximumTimeLimit;

  CompletionHandler(
      CompletionForm form, RequestEntry entry, InstantSource clock, Duration maximumTimeLimit) {
    this.form = form;
    this.entry = entry;
    this.clock = clock;
    this.maximumTimeLimit = maximumTimeLimit;
  }

  void handle(RequestId id, IncomingRequest request, Reply reply) throws CallerFaultException {
    CallerCredentials credentials = CallerCredentials.read(request, maximumTimeLimit);
    CompletionBody body = CompletionBody.parse(form, request.body());
    GenerationSubmission submission =
        new GenerationSubmission(
            id,
            credentials.customerKey(),
            body.service(),
            body.prompt(),
            body.maximumOutputTokens(),
            credentials.timeLimit(),
            credentials.idempotencyKey(),
            credentials.traceParent());
    CompletionJson json =
        new CompletionJson(form, id, body.service(), clock.instant().getEpochSecond());
    GenerationResponseListener answer =
        body.stream() ? new StreamedCompletion(reply, json) : new WholeCompletion(reply, json);
    DemandWindow demand = new DemandWindow(body.stream() ? WINDOW_CHUNKS : Long.MAX_VALUE);
    reply.watch(demand);
    demand.start(entry.generate(submission, answer));
  }
}
