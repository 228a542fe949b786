package dev.apricotmill.coordination.platform;

/** The answer to reading one object. */
public sealed interface ReadResult {

  /**
   * The object exists.
   *
   * @param object the object
   */
  record Found(StoredObject object) implements ReadResult {}

  /** The platform answered that the object does not exist. */
  record NotFound() implements ReadResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements ReadResult {}
}
