package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The two variants of the completions API. */
enum CompletionForm {
  /** Text completion of a prompt. */
  TEXT("text_completion", "text_completion", "cmpl-") {
    @Override
    String prompt(JsonNode body) throws ClientErrorException {
      JsonNode prompt = body.path("prompt");
      if (prompt.isArray() && prompt.size() == 1) {
        prompt = prompt.get(0);
      }
      if (!prompt.isTextual()) {
        throw new ClientErrorException(ClientError.WRONG_FIELDS, "prompt");
      }
      return prompt.textValue();
    }

    @Override
    void putFullText(ObjectNode choice, String text) {
      choice.put("text", text);
    }

    @Override
    void putDelta(ObjectNode choice, String text, boolean isFirst) {
      choice.put("text", text);
    }
  },
  /** Chat completion. */
  CHAT("chat.completion", "chat.completion.chunk", "chatcmpl-") {
    @Override
    String prompt(JsonNode body) throws ClientErrorException {
      return ChatPrompt.render(body.path("messages"));
    }

    @Override
    void putFullText(ObjectNode choice, String text) {
      choice.set("message", message(text));
    }

    @Override
    void putDelta(ObjectNode choice, String text, boolean isFirst) {
      ObjectNode delta = JsonNodeFactory.instance.objectNode();
      if (isFirst) {
        delta.put("role", ASSISTANT);
      }
      choice.set("delta", text.isEmpty() ? delta : delta.put("content", text));
    }

    private ObjectNode message(String text) {
      return JsonNodeFactory.instance.objectNode().put("role", ASSISTANT).put("content", text);
    }
  };

  private static final String ASSISTANT = "assistant";

  private final String objectName;
  private final String chunkObjectName;
  private final String idPrefix;

  CompletionForm(String objectName, String chunkObjectName, String idPrefix) {
    this.objectName = objectName;
    this.chunkObjectName = chunkObjectName;
    this.idPrefix = idPrefix;
  }

  /** Returns the prompt text of a request body. */
  abstract String prompt(JsonNode body) throws ClientErrorException;

  /** Puts the complete text into a choice. */
  abstract void putFullText(ObjectNode choice, String text);

  /** Puts a chunk of text into a choice. */
  abstract void putDelta(ObjectNode choice, String text, boolean isFirst);

  /** Returns the object name of complete responses. */
  String objectName() {
    return objectName;
  }

  /** Returns the object name of streamed chunks. */
  String chunkObjectName() {
    return chunkObjectName;
  }

  /** Returns the prefix of response identifiers. */
  String idPrefix() {
    return idPrefix;
  }
}
