package dev.apricotmill.adapters;

import com.fasterxml.jackson.databind.JsonNode;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.request.RequestId;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Parses the events of one streamed completion and checks that each chunk belongs to the request
 * and starts where the previous one ended.
 */
final class CompletionStream {

  /** The meaning of one server-sent event. */
  sealed interface Event {

    /** The next chunk. */
    record Chunk(TokenChunk chunk) implements Event {}

    /** The end of the stream. */
    record End(GenerationEnd end) implements Event {}

    /** An event that needs no call to the listener. */
    record Nothing() implements Event {}
  }

  private static final String DONE = "[DONE]";

  private final RequestId request;
  private long nextPosition;
  private GenerationEnd.@Nullable Finished finished;

  CompletionStream(EngineRequest request) {
    this.request = request.sequence().request();
    this.nextPosition = request.resumeAt();
  }

  /** Parses the data of one event. */
  Event read(String data) {
    if (data.equals(DONE)) {
      GenerationEnd.Finished end = finished;
      return end == null ? malformed() : new Event.End(end);
    }
    return Json.readObject(data).map(this::readObject).orElseGet(CompletionStream::malformed);
  }

  private Event readObject(JsonNode event) {
    if (event.has("error")) {
      return new Event.End(new GenerationEnd.Broken(EngineFailure.ENGINE_ERROR));
    }
    if (!event.path("id").asText().equals(request.value()) || finished != null) {
      return malformed();
    }
    JsonNode choice = event.path("choices").path(0);
    JsonNode finishReason = choice.path("finish_reason");
    if (finishReason.isTextual()) {
      return readFinish(finishReason.asText(), event.path("usage"));
    }
    return readChunk(choice.path("text"), event.path("apricotmill"));
  }

  private Event readFinish(String reason, JsonNode usage) {
    Optional<GenerationEnd.FinishReason> known = finishReason(reason);
    JsonNode promptTokens = usage.path("prompt_tokens");
    JsonNode outputTokens = usage.path("completion_tokens");
    if (known.isEmpty()
        || !promptTokens.isIntegralNumber()
        || outputTokens.asLong(-1) != nextPosition) {
      return malformed();
    }
    finished = new GenerationEnd.Finished(known.get(), promptTokens.asLong(), nextPosition);
    return new Event.Nothing();
  }

  private Event readChunk(JsonNode text, JsonNode extension) {
    int tokens = extension.path("tokens").asInt(0);
    if (!text.isTextual() || tokens < 1 || extension.path("position").asLong(-1) != nextPosition) {
      return malformed();
    }
    TokenChunk chunk = new TokenChunk(request, nextPosition, tokens, text.asText());
    nextPosition = chunk.endPosition();
    return new Event.Chunk(chunk);
  }

  private static Optional<GenerationEnd.FinishReason> finishReason(String name) {
    return switch (name) {
      case "stop" -> Optional.of(GenerationEnd.FinishReason.STOP);
      case "length" -> Optional.of(GenerationEnd.FinishReason.LENGTH);
      default -> Optional.empty();
    };
  }

  private static Event malformed() {
    return new Event.End(new GenerationEnd.Broken(EngineFailure.MALFORMED));
  }
}
