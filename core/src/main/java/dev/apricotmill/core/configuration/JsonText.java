package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Parses JSON strictly, and finds the line and column of JSON pointers. */
final class JsonText {
  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private JsonText() {}

  /**
   * Returns the JSON tree, or empty after adding a fault if the bytes are not a single JSON value.
   */
  static Optional<JsonNode> read(byte[] bytes, String pointer, FaultCollector faults) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (!node.isMissingNode()) {
        return Optional.of(node);
      }
      faults.add(pointer, Kind.MALFORMED_JSON, "the text is empty");
    } catch (JsonProcessingException e) {
      ConfigurationFault fault =
          ConfigurationFault.at(pointer, Kind.MALFORMED_JSON, firstLine(e.getOriginalMessage()));
      faults.add(position(e.getLocation()).map(fault::withPosition).orElse(fault));
    } catch (IOException e) {
      faults.add(pointer, Kind.MALFORMED_JSON, "the encoding is not UTF-8");
    }
    return Optional.empty();
  }

  /**
   * Returns the faults with the positions of their pointers in {@code bytes}, which must be
   * well-formed.
   */
  static ImmutableList<ConfigurationFault> locate(
      byte[] bytes, ImmutableList<ConfigurationFault> faults) {
    if (faults.stream().allMatch(fault -> fault.position().isPresent())) {
      return faults;
    }
    Map<String, TextPosition> positions = positions(bytes);
    return faults.stream()
        .map(fault -> locate(fault, positions))
        .collect(ImmutableList.toImmutableList());
  }

  private static ConfigurationFault locate(
      ConfigurationFault fault, Map<String, TextPosition> positions) {
    // A missing field has no position of its own; use that of the enclosing object.
    String pointer = fault.pointer();
    while (!positions.containsKey(pointer) && !pointer.isEmpty()) {
      pointer = pointer.substring(0, pointer.lastIndexOf('/'));
    }
    TextPosition position = positions.get(pointer);
    return fault.position().isPresent() || position == null ? fault : fault.withPosition(position);
  }

  private static Map<String, TextPosition> positions(byte[] bytes) {
    Map<String, TextPosition> positions = new HashMap<>();
    try (JsonParser parser = MAPPER.createParser(bytes)) {
      while (parser.nextToken() != null) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        position(parser.currentTokenLocation())
            .ifPresent(place -> positions.putIfAbsent(pointer, place));
      }
    } catch (IOException e) {
      // The text cannot be parsed beyond this point; return the positions found so far.
      return positions;
    }
    return positions;
  }

  private static Optional<TextPosition> position(JsonLocation location) {
    return location == null || location.getLineNr() < 1
        ? Optional.empty()
        : Optional.of(new TextPosition(location.getLineNr(), location.getColumnNr()));
  }

  private static String firstLine(String message) {
    return message.lines().findFirst().orElse("");
  }
}
