package dev.apricotmill.daemon.inner;

/** Maps enum constants to protobuf constants, whose names are prefixed by their type's name. */
final class EnumMessages {

  private EnumMessages() {}

  /** Returns the constant of {@code type} named by the prefix and the name of {@code value}. */
  static <E extends Enum<E>> E prefixed(Class<E> type, String prefix, Enum<?> value) {
    return Enum.valueOf(type, prefix + value.name());
  }

  /** Returns the constant of {@code type} named like {@code value} without its prefix. */
  static <E extends Enum<E>> E unprefixed(Class<E> type, String prefix, Enum<?> value)
      throws MalformedMessageException {
    if (!value.name().startsWith(prefix)) {
      throw new MalformedMessageException("unknown " + type.getSimpleName() + " " + value.name());
    }
    return named(type, value.name().substring(prefix.length()));
  }

  /** Returns the constant of {@code type} with the given name. */
  static <E extends Enum<E>> E named(Class<E> type, String name) throws MalformedMessageException {
    try {
      return Enum.valueOf(type, name);
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException(e);
    }
  }
}
