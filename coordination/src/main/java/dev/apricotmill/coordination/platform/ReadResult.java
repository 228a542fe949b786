package dev.apricotmill.coordination.platform;

/** The result of reading one object. */
public sealed interface ReadResult {

  /**
   * The object exists.
   *
   * @param object the object
   */
  record Found(StoredObject object) implements ReadResult {}

  /** The platform responded that the object does not exist. */
  record NotFound() implements ReadResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements ReadResult {}
}
