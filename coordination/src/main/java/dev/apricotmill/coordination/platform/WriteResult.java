package dev.apricotmill.coordination.platform;

/** The answer to a conditional write. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param version the object's new version
   */
  record Written(long version) implements WriteResult {}

  /**
   * The precondition did not hold; nothing was written.
   *
   * @param currentVersion the object's version, zero if it does not exist
   */
  record Conflict(long currentVersion) implements WriteResult {}

  /**
   * The platform refused the write before trying it; nothing was written.
   *
   * @param failure why
   */
  record NotWritten(PlatformFailure failure) implements WriteResult {}

  /**
   * No answer came; the write may have taken effect or may still do so.
   *
   * @param failure why no answer came
   */
  record Indeterminate(PlatformFailure failure) implements WriteResult {}
}
