package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.daemon.http.Answer;
import dev.apricotmill.daemon.http.Reply;
import dev.apricotmill.daemon.http.ReplyStream;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Sends a generated answer as server-sent events. The head leaves with the first chunk, so that a
 * request that is refused before still gets its own status.
 */
final class StreamedCompletion implements GenerationResponseListener {

  private static final String DONE = "data: [DONE]\n\n";

  private final Reply reply;
  private final CompletionJson json;

  @GuardedBy("this")
  private @Nullable ReplyStream stream;

  StreamedCompletion(Reply reply, CompletionJson json) {
    this.reply = reply;
    this.json = json;
  }

  @Override
  public synchronized void onChunk(TokenChunk chunk) {
    boolean first = stream == null;
    ReplyStream open = open();
    open.write(event(json.piece(chunk.text(), first)));
  }

  @Override
  public synchronized void onEnd(GenerationResponseEnd end) {
    if (end.outcome() instanceof Outcome.Answered) {
      finish(end);
    } else if (stream == null) {
      reply.send(Problems.of(end.request(), end.outcome(), end.hops()));
    } else {
      ObjectNode problem = Problems.body(end.request(), end.outcome());
      ReplyStream open = open();
      open.write(bytes("event: error\ndata: " + withOutcome(wrapped(problem), end) + "\n\n"));
      open.end();
    }
  }

  @GuardedBy("this")
  private void finish(GenerationResponseEnd end) {
    boolean first = stream == null;
    ReplyStream open = open();
    open.write(event(withOutcome(json.lastPiece(end.usage(), first), end)));
    open.write(bytes(DONE));
    open.end();
  }

  @GuardedBy("this")
  private ReplyStream open() {
    if (stream == null) {
      stream =
          reply.stream(
              200,
              ImmutableMap.of(
                  Answer.CONTENT_TYPE,
                  "text/event-stream",
                  "Cache-Control",
                  "no-store",
                  CallerHeaders.REQUEST_ID,
                  json.request().value()));
    }
    return stream;
  }

  private static ObjectNode wrapped(ObjectNode problem) {
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
