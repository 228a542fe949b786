package dev.apricotmill.daemon.inner;

/** Maps enum constants to protobuf constants, whose names have the type's name as a prefix. */
final class EnumMessages {

  private EnumMessages() {}

  /** Returns the constant of {@code type} whose name is that of {@code value} after the prefix. */
  static <E extends Enum<E>> E prefixed(Class<E> type, String prefix, Enum<?> value) {
    return Enum.valueOf(type, prefix + value.name());
  }

  /** Returns the constant of {@code type} named as {@code value} is after its prefix. */
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
