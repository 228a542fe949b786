package dev.apricotmill.coordination.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.io.IOException;
import java.util.Optional;

/** Encodes and decodes configuration heads as JSON. */
final class HeadCodec {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new GuavaModule())
          .addModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
          .build();

  private HeadCodec() {}

  static byte[] encode(ConfigurationHead head) {
    try {
      return MAPPER.writeValueAsBytes(head);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException(
          "cannot encode the head of generation " + head.generation(), exception);
    }
  }

  /** Returns the decoded head, empty if the bytes are not a valid head. */
  static Optional<ConfigurationHead> decode(byte[] bytes) {
    try {
      ConfigurationHead head = MAPPER.readValue(bytes, ConfigurationHead.class);
      return head.parts() == null ? Optional.empty() : Optional.of(head);
    } catch (IOException exception) {
      return Optional.empty();
    }
  }
}
