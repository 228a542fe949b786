package dev.apricotmill.coordination.platform;

/** The condition that an object must meet for a write to take effect. */
public sealed interface Precondition {

  /** The object must not exist. */
  record Absent() implements Precondition {}

  /**
   * The object must have exactly this version.
   *
   * @param version the expected version
   */
  record VersionIs(long version) implements Precondition {}

  /** Returns the condition that the object does not exist. */
  static Precondition absent() {
    return new Absent();
  }

  /** Returns the condition that the object has {@code version}; zero means absent. */
  static Precondition versionIs(long version) {
    return version == 0 ? new Absent() : new VersionIs(version);
  }

  /** Returns whether an object with {@code version} meets the condition; zero means absent. */
  default boolean holdsFor(long version) {
    return this instanceof VersionIs expected ? expected.version() == version : version == 0;
  }
}
