package dev.apricotmill.adapters;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Replaces the values of one field that a JSON parser would reject by {@code null}, so that one odd
 * value does not hide all others. Text that is not UTF-8 becomes text that names nothing.
 */
public final class JsonSanitizer {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** What a parser accepts, less the levels around a value. */
  private static final int MAX_DEPTH = 500;

  private static final int MAX_NUMBER_LENGTH = 500;

  private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);
  private static final int NONE = -1;

  private final byte[] input;
  private final byte[] quotedField;
  private final byte[] output;
  private int length;
  private int depth;
  private int valueDepth = NONE;
  private int valueStart;
  private boolean valueOdd;
  private boolean afterField;

  private JsonSanitizer(byte[] input, String field) {
    this.input = input;
    quotedField = ('"' + field + '"').getBytes(StandardCharsets.UTF_8);
    output = new byte[input.length + NULL.length];
  }

  /**
   * Parses JSON, without the values of {@code field} that make it unreadable if there are such.
   *
   * @return empty if it cannot be parsed without these values either
   */
  public static Optional<JsonNode> parse(byte[] json, String field) {
    try {
      return Optional.of(JSON.readTree(json));
    } catch (IOException e) {
      // Malformed bytes become replacement characters.
      byte[] text = new String(json, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
      return parse(new JsonSanitizer(text, field).sanitize());
    }
  }

  private static Optional<JsonNode> parse(byte[] json) {
    try {
      return Optional.of(JSON.readTree(json));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private byte[] sanitize() {
    int position = 0;
    while (position < input.length) {
      byte next = input[position];
      if (next == '"') {
        position = copyString(position);
      } else if (isNumberStart(next)) {
        position = copyNumber(position);
      } else {
        copyStructure(next);
        position++;
      }
    }
    return Arrays.copyOf(output, length);
  }

  private void copyStructure(byte next) {
    if (next == '{' || next == '[') {
      if (afterField && valueDepth == NONE) {
        valueDepth = depth;
        valueStart = length;
        valueOdd = false;
      }
      depth++;
      valueOdd |= valueDepth != NONE && depth - valueDepth > MAX_DEPTH;
    }
    append(next);
    if (next == '}' || next == ']') {
      depth--;
      if (depth == valueDepth) {
        endValue();
      }
    }
    afterField &= next == ':' || isBlank(next);
  }

  private void endValue() {
    if (valueOdd) {
      replaceSince(valueStart);
    }
    valueDepth = NONE;
  }

  private int copyString(int start) {
    int end = start + 1;
    while (end < input.length && input[end] != '"') {
      end += input[end] == '\\' ? 2 : 1;
    }
    end = Math.min(end + 1, input.length);
    for (int i = start; i < end; i++) {
      append(input[i]);
    }
    // A value with this text is followed by no colon.
    afterField = Arrays.equals(input, start, end, quotedField, 0, quotedField.length);
    return end;
  }

  private int copyNumber(int start) {
    int outputStart = length;
    int end = start;
    while (end < input.length && isNumberPart(input[end])) {
      append(input[end++]);
    }
    if (end - start > MAX_NUMBER_LENGTH) {
      valueOdd = true;
      replaceSince(outputStart);
    }
    afterField = false;
    return end;
  }

  private void replaceSince(int outputStart) {
    length = outputStart;
    for (byte next : NULL) {
      append(next);
    }
  }

  private void append(byte next) {
    output[length++] = next;
  }

  private static boolean isBlank(byte next) {
    return next == ' ' || next == '\t' || next == '\n' || next == '\r';
  }

  private static boolean isNumberStart(byte next) {
    return next == '-' || (next >= '0' && next <= '9');
  }

  private static boolean isNumberPart(byte next) {
    return isNumberStart(next) || next == '+' || next == '.' || next == 'e' || next == 'E';
  }
}
