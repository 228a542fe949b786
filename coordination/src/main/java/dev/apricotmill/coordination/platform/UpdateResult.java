package dev.apricotmill.coordination.platform;

/** The outcome of an update through {@link ConditionalWriter}. */
public sealed interface UpdateResult {

  /**
   * The update took effect.
   *
   * @param object the object with its new version and value
   */
  record Written(StoredObject object) implements UpdateResult {}

  /**
   * The object no longer has the version that the update expected, so the update cannot take effect
   * any more. It may have taken effect before. It did if, and only if, its content is found in the
   * object or in later content derived from it.
   *
   * @param current the object as last read or written
   */
  record VersionChanged(StoredObject current) implements UpdateResult {}

  /**
   * The update did not take effect and cannot take effect later.
   *
   * @param failure the cause
   */
  record NotWritten(PlatformFailure failure) implements UpdateResult {}

  /**
   * The update may have taken effect or may still do so.
   *
   * @param failure why the outcome could not be determined in time
   */
  record Undetermined(PlatformFailure failure) implements UpdateResult {}
}
