package dev.apricotmill.adapters;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Reads and writes JSON with field names in snake case. */
final class Json {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Reads a value; empty if the bytes are not valid JSON or a field is missing. */
  static <T> Optional<T> read(byte[] bytes, Class<T> type) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, type));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }

  /** Reads a tree; empty if the text is not a valid JSON object. */
  static Optional<JsonNode> readObject(String text) {
    try {
      return Optional.ofNullable(MAPPER.readTree(text)).filter(JsonNode::isObject);
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }
}
