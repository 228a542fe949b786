package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * Builds the JSON responses of the completions API.
 *
 * @param form the API variant
 * @param request the request identifier
 * @param service the model pool
 * @param createdSeconds the creation time in seconds since the epoch
 */
record CompletionJson(
    CompletionForm form, RequestId request, ServiceName service, long createdSeconds) {

  /** Returns a complete response. */
  ObjectNode completeResponse(String text, ForwardEnd.Usage usage) {
    ObjectNode response = envelope(form.objectName());
    ObjectNode choice = choice(response, Optional.of(finishReason(usage)));
    form.putFullText(choice, text);
    response.set("usage", usageNode(usage));
    return response;
  }

  /** Returns a chunk of a streamed response. */
  ObjectNode chunk(String text, boolean isFirst) {
    ObjectNode chunk = envelope(form.chunkObjectName());
    form.putDelta(choice(chunk, Optional.empty()), text, isFirst);
    return chunk;
  }

  /** Returns the last chunk of a streamed response, with finish reason and token counts. */
  ObjectNode finalChunk(ForwardEnd.Usage usage, boolean isFirst) {
    ObjectNode chunk = envelope(form.chunkObjectName());
    form.putDelta(choice(chunk, Optional.of(finishReason(usage))), "", isFirst);
    chunk.set("usage", usageNode(usage));
    return chunk;
  }

  private ObjectNode envelope(String objectName) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("id", form.idPrefix() + request.value())
        .put("object", objectName)
        .put("created", createdSeconds)
        .put("model", service.value());
  }

  private static ObjectNode choice(ObjectNode envelope, Optional<String> finishReason) {
    ObjectNode choice = envelope.putArray("choices").addObject().put("index", 0);
    return choice.put("finish_reason", finishReason.orElse(null));
  }

  private static ObjectNode usageNode(ForwardEnd.Usage usage) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("prompt_tokens", usage.promptTokens())
        .put("completion_tokens", usage.outputTokens())
        .put("total_tokens", usage.promptTokens() + usage.outputTokens());
  }

  private static String finishReason(ForwardEnd.Usage usage) {
    return Ascii.toLowerCase(usage.finishReason().name());
  }
}
