package dev.apricotmill.core.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Enums;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Reads the fields of one JSON object strictly and collects all faults with their location.
 *
 * <p>For a faulty field the methods return a placeholder value, so that reading can continue and
 * find further faults. Callers use the values only if {@link #finish} returns true.
 */
final class JsonFields {
  private static final PeerAddress PLACEHOLDER_ADDRESS = new PeerAddress("0.0.0.0", 1);

  private final JsonNode node;
  private final String pointer;
  private final FaultCollector faults;
  private final int faultsBefore;
  private final Set<String> requestedNames = new HashSet<>();

  JsonFields(JsonNode node, String pointer, FaultCollector faults) {
    this.node = node;
    this.pointer = pointer;
    this.faults = faults;
    this.faultsBefore = faults.count();
    if (!node.isObject()) {
      faults.add(pointer, Kind.WRONG_TYPE, "an object");
    }
  }

  /** Returns the JSON pointer of the object. */
  String pointer() {
    return pointer;
  }

  /** Reports the fields that were not requested; returns whether the object has no fault. */
  boolean finish() {
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!requestedNames.contains(name)) {
        faults.add(childPointer(name), Kind.UNKNOWN_FIELD, "");
      }
    }
    return faults.count() == faultsBefore;
  }

  boolean has(String name) {
    return node.hasNonNull(name);
  }

  void fault(String name, Kind kind, String subject) {
    faults.add(childPointer(name), kind, subject);
  }

  /** Returns the string, or an empty one if the field is missing or has another type. */
  String text(String name) {
    Optional<JsonNode> value = required(name);
    if (value.isPresent() && !value.get().isTextual()) {
      fault(name, Kind.WRONG_TYPE, "a string");
      return "";
    }
    return value.map(JsonNode::textValue).orElse("");
  }

  int integer(String name) {
    return (int) integralNumber(name, JsonNode::canConvertToInt);
  }

  long longInteger(String name) {
    return integralNumber(name, JsonNode::canConvertToLong);
  }

  double number(String name) {
    Optional<JsonNode> value = required(name);
    if (value.isPresent() && !value.get().isNumber()) {
      fault(name, Kind.WRONG_TYPE, "a number");
      return 0;
    }
    return value.map(JsonNode::doubleValue).orElse(0.0);
  }

  boolean flag(String name) {
    Optional<JsonNode> value = required(name);
    if (value.isPresent() && !value.get().isBoolean()) {
      fault(name, Kind.WRONG_TYPE, "true or false");
      return false;
    }
    return value.map(JsonNode::booleanValue).orElse(false);
  }

  /** Returns the constant of that name, or the first constant after reporting a fault. */
  <E extends Enum<E>> E enumValue(String name, Class<E> type) {
    int before = faults.count();
    String text = text(name);
    E[] constants = type.getEnumConstants();
    if (faults.count() > before) {
      return constants[0];
    }
    Optional<E> constant = Enums.getIfPresent(type, text).toJavaUtil();
    if (constant.isEmpty()) {
      fault(name, Kind.UNKNOWN_WORD, text + ", allowed are " + Arrays.toString(constants));
    }
    return constant.orElse(constants[0]);
  }

  Duration duration(String name) {
    return parsed(name, Duration::parse, Duration.ZERO, "a duration such as PT30S");
  }

  Instant instant(String name) {
    return parsed(name, Instant::parse, Instant.EPOCH, "a time such as 2026-11-20T06:00:00Z");
  }

  PeerAddress address(String name) {
    return parsed(name, PeerAddress::parse, PLACEHOLDER_ADDRESS, "an address of the form IP:port");
  }

  JsonFields object(String name) {
    requestedNames.add(name);
    return new JsonFields(node.path(name), childPointer(name), faults);
  }

  /** Reads the objects of an array; those with a fault are omitted. */
  <T> ImmutableList<Located<T>> list(String name, Function<JsonFields, Optional<T>> reader) {
    return required(name)
        .map(array -> readArray(array, childPointer(name), faults, reader))
        .orElse(ImmutableList.of());
  }

  /** Reads the objects of an array, which must not be empty. */
  <T> ImmutableList<Located<T>> nonEmptyList(
      String name, Function<JsonFields, Optional<T>> reader) {
    if (node.path(name).isArray() && node.path(name).isEmpty()) {
      fault(name, Kind.EMPTY, "");
    }
    return list(name, reader);
  }

  /** Reads the objects of {@code array}; those with a fault are omitted. */
  static <T> ImmutableList<Located<T>> readArray(
      JsonNode array,
      String pointer,
      FaultCollector faults,
      Function<JsonFields, Optional<T>> reader) {
    if (!array.isArray()) {
      faults.add(pointer, Kind.WRONG_TYPE, "an array");
      return ImmutableList.of();
    }
    ImmutableList.Builder<Located<T>> values = ImmutableList.builder();
    for (int index = 0; index < array.size(); index++) {
      String elementPointer = pointer + "/" + index;
      JsonFields fields = new JsonFields(array.get(index), elementPointer, faults);
      reader.apply(fields).ifPresent(value -> values.add(new Located<>(elementPointer, value)));
    }
    return values.build();
  }

  private <T> T parsed(String name, Function<String, T> parser, T placeholder, String expected) {
    int before = faults.count();
    String text = text(name);
    if (faults.count() > before) {
      return placeholder;
    }
    try {
      return parser.apply(text);
    } catch (DateTimeException | IllegalArgumentException | ArithmeticException e) {
      fault(name, Kind.MALFORMED_VALUE, text + ", expected " + expected);
      return placeholder;
    }
  }

  private Optional<JsonNode> required(String name) {
    requestedNames.add(name);
    JsonNode value = node.path(name);
    if (value.isMissingNode() || value.isNull()) {
      if (node.isObject()) {
        fault(name, Kind.MISSING_FIELD, "");
      }
      return Optional.empty();
    }
    return Optional.of(value);
  }

  private long integralNumber(String name, Predicate<JsonNode> fits) {
    Optional<JsonNode> value = required(name);
    if (value.isEmpty()) {
      return 0;
    }
    if (!value.get().isIntegralNumber()) {
      fault(name, Kind.WRONG_TYPE, "an integer");
      return 0;
    }
    if (!fits.test(value.get())) {
      fault(name, Kind.OUT_OF_RANGE, value.get().asText());
      return 0;
    }
    return value.get().longValue();
  }

  private String childPointer(String name) {
    return pointer + "/" + name.replace("~", "~0").replace("/", "~1");
  }
}
