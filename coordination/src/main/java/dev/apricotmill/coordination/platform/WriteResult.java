package dev.apricotmill.coordination.platform;

/** The result of a conditional write. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param version the object's new version
   */
  record Written(long version) implements WriteResult {}

  /**
   * The object did not meet the precondition; nothing was written.
   *
   * @param currentVersion the object's current version, zero if it does not exist
   */
  record Conflict(long currentVersion) implements WriteResult {}

  /**
   * The platform was not reached or rejected the write; nothing was written.
   *
   * @param failure the cause
   */
  record NotWritten(PlatformFailure failure) implements WriteResult {}

  /**
   * No response arrived; the write may have taken effect or may still do so.
   *
   * @param failure why no response arrived
   */
  record Indeterminate(PlatformFailure failure) implements WriteResult {}
}
