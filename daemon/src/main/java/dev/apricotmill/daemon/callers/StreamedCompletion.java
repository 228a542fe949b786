package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.daemon.http.ResponseStream;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Sends a generated response as server-sent events. The response head is sent with the first chunk,
 * so that a request that is refused before that still gets its own HTTP status.
 */
final class StreamedCompletion implements GenerationResponseListener {

  private static final String DONE = "data: [DONE]\n\n";

  private final ResponseSender sender;
  private final CompletionJson json;

  @GuardedBy("this")
  private @Nullable ResponseStream stream;

  StreamedCompletion(ResponseSender sender, CompletionJson json) {
    this.sender = sender;
    this.json = json;
  }

  @Override
  public synchronized void onChunk(TokenChunk chunk) {
    boolean isFirst = stream == null;
    ResponseStream openedStream = openStream();
    openedStream.write(event(json.chunk(chunk.text(), isFirst)));
  }

  @Override
  public synchronized void onEnd(GenerationResponseEnd end) {
    if (end.outcome() instanceof Outcome.Answered) {
      writeFinalChunk(end);
    } else if (stream == null) {
      sender.send(ProblemDetails.of(end.request(), end.outcome(), end.hops()));
    } else {
      ObjectNode problem = ProblemDetails.body(end.request(), end.outcome());
      ResponseStream openedStream = openStream();
      openedStream.write(
          bytes("event: error\ndata: " + withOutcome(errorObject(problem), end) + "\n\n"));
      openedStream.end();
    }
  }

  @GuardedBy("this")
  private void writeFinalChunk(GenerationResponseEnd end) {
    boolean isFirst = stream == null;
    ResponseStream openedStream = openStream();
    openedStream.write(event(withOutcome(json.finalChunk(end.usage(), isFirst), end)));
    openedStream.write(bytes(DONE));
    openedStream.end();
  }

  @GuardedBy("this")
  private ResponseStream openStream() {
    if (stream == null) {
      stream =
          sender.startStream(
              200,
              ImmutableMap.of(
                  CompleteResponse.CONTENT_TYPE,
                  "text/event-stream",
                  "Cache-Control",
                  "no-store",
                  CallerHeaders.REQUEST_ID,
                  json.request().value()));
    }
    return stream;
  }

  private static ObjectNode errorObject(ObjectNode problem) {
    ObjectNode event = problem.objectNode();
    event.set("error", problem);
    return event;
  }

  private static ObjectNode withOutcome(ObjectNode event, GenerationResponseEnd end) {
    event.put("apricotmill_outcome", end.outcome().headerValue());
    event.put("apricotmill_request_id", end.request().value());
    end.hops().forEach(event.putArray("apricotmill_hops")::add);
    return event;
  }

  private static byte[] event(ObjectNode data) {
    return bytes("data: " + data + "\n\n");
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
