package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.node.api.RequestEntry;
import java.time.Duration;
import java.time.InstantSource;

/** Handles completion requests of one {@link CompletionForm}. */
final class CompletionHandler {

  /** Maximum number of chunks of one streamed response that may wait for the caller's socket. */
  static final long STREAM_WINDOW_CHUNKS = 16;

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

  void handle(RequestId id, IncomingRequest request, ResponseSender sender)
      throws ClientErrorException {
    RequestMetadata metadata = RequestMetadata.read(request, maximumTimeLimit);
    CompletionBody body = CompletionBody.parse(form, request.body());
    GenerationSubmission submission =
        new GenerationSubmission(
            id,
            metadata.customerKey(),
            body.service(),
            body.prompt(),
            body.maximumOutputTokens(),
            metadata.timeLimit(),
            metadata.idempotencyKey(),
            metadata.traceParent());
    CompletionJson json =
        new CompletionJson(form, id, body.service(), clock.instant().getEpochSecond());
    GenerationResponseListener listener =
        body.stream() ? new StreamedCompletion(sender, json) : new BufferedCompletion(sender, json);
    DemandWindow demand = new DemandWindow(body.stream() ? STREAM_WINDOW_CHUNKS : Long.MAX_VALUE);
    sender.setListener(demand);
    demand.start(entry.generate(submission, listener));
  }
}
