package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.regex.Pattern;

/** Renders chat messages as one prompt, which ends with the header of the assistant's turn. */
final class ChatPrompt {

  private static final Pattern ROLE = Pattern.compile("[a-z]{1,16}");

  private ChatPrompt() {}

  static String render(JsonNode messages) throws ClientErrorException {
    if (!messages.isArray() || messages.isEmpty()) {
      throw new ClientErrorException(ClientError.WRONG_FIELDS, "messages");
    }
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      String role = message.path("role").asText();
      if (!ROLE.matcher(role).matches()) {
        throw new ClientErrorException(ClientError.WRONG_FIELDS, "messages.role");
      }
      prompt.append("<|").append(role).append("|>\n");
      appendContent(prompt, message.path("content"));
      prompt.append('\n');
    }
    return prompt.append("<|assistant|>\n").toString();
  }

  private static void appendContent(StringBuilder prompt, JsonNode content)
      throws ClientErrorException {
    if (content.isTextual()) {
      prompt.append(content.textValue());
      return;
    }
    if (!content.isArray()) {
      throw new ClientErrorException(ClientError.WRONG_FIELDS, "messages.content");
    }
    for (JsonNode part : content) {
      if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
        throw new ClientErrorException(ClientError.WRONG_FIELDS, "messages.content");
      }
      prompt.append(part.path("text").textValue());
    }
  }
}
