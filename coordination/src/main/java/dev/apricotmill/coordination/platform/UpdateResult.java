package dev.apricotmill.coordination.platform;

/** What became of an update through {@link ConditionalWriter}. */
public sealed interface UpdateResult {

  /**
   * The update took effect.
   *
   * @param object the object with its new version and value
   */
  record Written(StoredObject object) implements UpdateResult {}

  /**
   * The object has another version than the update expected, so that the update cannot take effect
   * from now on. It did take effect earlier if, and only if, its trace is found in the object or in
   * what was built upon it.
   *
   * @param current the object as it is now
   */
  record VersionChanged(StoredObject current) implements UpdateResult {}

  /**
   * The update did not take effect and cannot any more.
   *
   * @param failure why
   */
  record NotWritten(PlatformFailure failure) implements UpdateResult {}

  /**
   * The update may have taken effect or may still do so.
   *
   * @param failure why this could not be settled in time
   */
  record Undetermined(PlatformFailure failure) implements UpdateResult {}
}
