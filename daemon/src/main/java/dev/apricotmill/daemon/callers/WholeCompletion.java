package dev.apricotmill.daemon.callers;

import com.google.common.collect.ImmutableMap;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.daemon.http.Answer;
import dev.apricotmill.daemon.http.Reply;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import java.nio.charset.StandardCharsets;

/** Gathers a generated answer and sends it whole once it has ended well. */
final class WholeCompletion implements GenerationResponseListener {

  private final Reply reply;
  private final CompletionJson json;

  @GuardedBy("this")
  private final StringBuilder text = new StringBuilder();

  WholeCompletion(Reply reply, CompletionJson json) {
    this.reply = reply;
    this.json = json;
  }

  @Override
  public synchronized void onChunk(TokenChunk chunk) {
    text.append(chunk.text());
  }

  @Override
  public void onEnd(GenerationResponseEnd end) {
    if (!(end.outcome() instanceof Outcome.Answered answered)) {
      reply.send(Problems.of(end.request(), end.outcome(), end.hops()));
      return;
    }
    byte[] body = json.whole(gathered(), end.usage()).toString().getBytes(StandardCharsets.UTF_8);
    reply.send(
        new Answer(
            answered.status(),
            ImmutableMap.of(
                Answer.CONTENT_TYPE,
                "application/json",
                CallerHeaders.REQUEST_ID,
                end.request().value(),
                CallerHeaders.OUTCOME,
                end.outcome().headerValue(),
                CallerHeaders.HOPS,
                String.join(",", end.hops())),
            body));
  }

  private synchronized String gathered() {
    return text.toString();
  }
}
