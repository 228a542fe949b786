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
 * @param prompt the prompt as one text
 * @param maximumOutputTokens the most tokens to generate
 * @param stream whether the answer comes as server-sent events
 */
record CompletionBody(ServiceName service, String prompt, int maximumOutputTokens, boolean stream) {

  private static final int DEFAULT_OUTPUT_TOKENS = 256;
  private static final int LARGEST_OUTPUT_TOKENS = 131_072;
  private static final int MAXIMUM_NAME_LENGTH = 255;
  private static final int MAXIMUM_DEPTH = 32;
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_DEPTH).build())
                  .build())
          .build();

  /** Parses a body and checks its fields. */
  static CompletionBody parse(CompletionForm form, byte[] body) throws CallerFaultException {
    JsonNode json = json(body);
    String model = json.path("model").asText();
    if (!json.path("model").isTextual()
        || model.isEmpty()
        || model.length() > MAXIMUM_NAME_LENGTH) {
      throw new CallerFaultException(CallerFault.WRONG_FIELDS, "model");
    }
    requireOneChoice(json.path("n"));
    return new CompletionBody(
        new ServiceName(model), form.prompt(json), outputTokens(json), stream(json));
  }

  private static JsonNode json(byte[] body) throws CallerFaultException {
    JsonNode json;
    try {
      json = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new CallerFaultException(CallerFault.NOT_JSON, "");
    }
    if (!json.isObject()) {
      throw new CallerFaultException(CallerFault.NOT_JSON, "not an object");
    }
    return json;
  }

  private static void requireOneChoice(JsonNode count) throws CallerFaultException {
    if (!absent(count) && !(count.isInt() && count.intValue() == 1)) {
      throw new CallerFaultException(CallerFault.WRONG_FIELDS, "n");
    }
  }

  private static int outputTokens(JsonNode json) throws CallerFaultException {
    JsonNode limit =
        absent(json.path("max_completion_tokens"))
            ? json.path("max_tokens")
            : json.path("max_completion_tokens");
    if (absent(limit)) {
      return DEFAULT_OUTPUT_TOKENS;
    }
    if (!limit.isInt() || limit.intValue() < 1 || limit.intValue() > LARGEST_OUTPUT_TOKENS) {
      throw new CallerFaultException(CallerFault.WRONG_FIELDS, "max_tokens");
    }
    return limit.intValue();
  }

  private static boolean stream(JsonNode json) throws CallerFaultException {
    JsonNode stream = json.path("stream");
    if (!absent(stream) && !stream.isBoolean()) {
      throw new CallerFaultException(CallerFault.WRONG_FIELDS, "stream");
    }
    return stream.asBoolean();
  }

  private static boolean absent(JsonNode node) {
    return node.isMissingNode() || node.isNull();
  }
}
