package dev.apricotmill.daemon.callers;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import java.nio.charset.StandardCharsets;

/** Buffers a generated response and sends it when generation has ended successfully. */
final class BufferedCompletion implements GenerationResponseListener {

  private final ResponseSender sender;
  private final CompletionJson json;

  @GuardedBy("this")
  private final StringBuilder text = new StringBuilder();

  BufferedCompletion(ResponseSender sender, CompletionJson json) {
    this.sender = sender;
    this.json = json;
  }

  @Override
  public synchronized void onChunk(TokenChunk chunk) {
    text.append(chunk.text());
  }

  @Override
  public void onEnd(GenerationResponseEnd end) {
    if (!(end.outcome() instanceof Outcome.Answered answered)) {
      sender.send(ProblemDetails.of(end.request(), end.outcome(), end.hops()));
      return;
    }
    byte[] body =
        json.completeResponse(bufferedText(), end.usage())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    sender.send(
        new CompleteResponse(
            answered.status(),
            ImmutableMap.of(
                CompleteResponse.CONTENT_TYPE,
                "application/json",
                CallerHeaders.REQUEST_ID,
                end.request().value(),
                CallerHeaders.OUTCOME,
                end.outcome().headerValue(),
                CallerHeaders.HOPS,
                String.join(",", end.hops())),
            body));
  }

  private synchronized String bufferedText() {
    return text.toString();
  }
}
