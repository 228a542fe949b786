package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.apricotmill.core.request.ServiceName;
import java.io.IOException;

/**
 * The body of a completions request.
 *
 * @param service the model pool
 * @param prompt the prompt text
 * @param maximumOutputTokens the maximum number of tokens to generate
 * @param stream whether the response is sent as server-sent events
 */
record CompletionBody(ServiceName service, String prompt, int maximumOutputTokens, boolean stream) {

  private static final int DEFAULT_OUTPUT_TOKENS = 256;
  private static final int MAX_OUTPUT_TOKENS = 131_072;
  private static final int MAX_MODEL_NAME_LENGTH = 255;
  private static final int MAX_JSON_DEPTH = 32;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_JSON_DEPTH).build())
                  .build())
          .build();

  /** Parses and validates a JSON body. */
  static CompletionBody parse(CompletionForm form, byte[] body) throws ClientErrorException {
    JsonNode json = json(body);
    String model = json.path("model").asText();
    if (!json.path("model").isTextual()
        || model.isEmpty()
        || model.length() > MAX_MODEL_NAME_LENGTH) {
      throw new ClientErrorException(ClientError.WRONG_FIELDS, "model");
    }
    requireOneChoice(json.path("n"));
    return new CompletionBody(
        new ServiceName(model), form.prompt(json), outputTokens(json), stream(json));
  }

  private static JsonNode json(byte[] body) throws ClientErrorException {
    JsonNode json;
    try {
      json = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new ClientErrorException(ClientError.NOT_JSON, "");
    }
    if (!json.isObject()) {
      throw new ClientErrorException(ClientError.NOT_JSON, "not an object");
    }
    return json;
  }

  private static void requireOneChoice(JsonNode count) throws ClientErrorException {
    if (!isAbsent(count) && !(count.isInt() && count.intValue() == 1)) {
      throw new ClientErrorException(ClientError.WRONG_FIELDS, "n");
    }
  }

  private static int outputTokens(JsonNode json) throws ClientErrorException {
    JsonNode limit =
        isAbsent(json.path("max_completion_tokens"))
            ? json.path("max_tokens")
            : json.path("max_completion_tokens");
    if (isAbsent(limit)) {
      return DEFAULT_OUTPUT_TOKENS;
    }
    if (!limit.isInt() || limit.intValue() < 1 || limit.intValue() > MAX_OUTPUT_TOKENS) {
      throw new ClientErrorException(ClientError.WRONG_FIELDS, "max_tokens");
    }
    return limit.intValue();
  }

  private static boolean stream(JsonNode json) throws ClientErrorException {
    JsonNode stream = json.path("stream");
    if (!isAbsent(stream) && !stream.isBoolean()) {
      throw new ClientErrorException(ClientError.WRONG_FIELDS, "stream");
    }
    return stream.asBoolean();
  }

  private static boolean isAbsent(JsonNode node) {
    return node.isMissingNode() || node.isNull();
  }
}
