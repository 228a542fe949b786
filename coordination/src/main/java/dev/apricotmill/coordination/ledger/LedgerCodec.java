package dev.apricotmill.coordination.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import java.io.IOException;
import java.util.Optional;

/** Encodes stored objects and messages of the ledger as JSON. */
final class LedgerCodec {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new GuavaModule()).build();

  private LedgerCodec() {}

  static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException("failed to encode a ledger object as JSON", impossible);
    }
  }

  /** Returns the decoded value, empty if the bytes are not a valid encoding of {@code type}. */
  static <T> Optional<T> decode(byte[] bytes, Class<T> type) {
    try {
      return Optional.ofNullable(MAPPER.readValue(bytes, type));
    } catch (IOException damaged) {
      return Optional.empty();
    }
  }
}
