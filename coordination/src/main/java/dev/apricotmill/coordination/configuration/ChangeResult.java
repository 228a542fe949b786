package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The outcome of a proposed change. */
public sealed interface ChangeResult {

  /**
   * The change was accepted, now or by an earlier proposal with the same identifier.
   *
   * @param head the head of the change; a later change may have replaced it
   */
  record Accepted(ConfigurationHead head) implements ChangeResult {}

  /**
   * Another change was accepted first; this one was not accepted and will not be.
   *
   * @param other the change that was accepted under the generation that this one proposed
   * @param current the current head
   */
  record ConflictsWith(ConfigurationHead other, ConfigurationHead current)
      implements ChangeResult {}

  /**
   * A part is larger than {@link dev.apricotmill.coordination.platform.Platform#MAX_VALUE_BYTES};
   * nothing was changed.
   *
   * @param partName the part's name
   * @param size the part's size in bytes
   */
  record PartTooLarge(String partName, int size) implements ChangeResult {}

  /**
   * The platform could not be reached or refused the call; the change was not accepted and will not
   * be.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements ChangeResult {}

  /**
   * The change may have been accepted or may still be accepted. The caller learns the outcome by
   * proposing it again with the same identifier.
   *
   * @param changeId the change's identifier
   */
  record Undetermined(String changeId) implements ChangeResult {}
}
