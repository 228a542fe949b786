package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The two forms of the completions API. */
enum CompletionForm {
  /** A prompt and its continuation. */
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
  /** A conversation and its next message. */
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

  /** Returns the prompt as one text. */
  abstract String prompt(JsonNode body) throws ClientErrorException;

  /** Puts a whole answer into a choice. */
  abstract void putFullText(ObjectNode choice, String text);

  /** Puts a piece of an answer into a choice. */
  abstract void putDelta(ObjectNode choice, String text, boolean isFirst);

  /** Returns the name of the form's whole answers. */
  String objectName() {
    return objectName;
  }

  /** Returns the name of the form's pieces. */
  String chunkObjectName() {
    return chunkObjectName;
  }

  /** Returns the prefix of the identifiers in answers. */
  String idPrefix() {
    return idPrefix;
  }
}
