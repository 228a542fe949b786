package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** What became of a proposed change. */
public sealed interface ChangeResult {

  /**
   * The change was accepted, now or by an earlier proposal with the same identifier.
   *
   * @param head its head, which may have been replaced since
   */
  record Accepted(ConfigurationHead head) implements ChangeResult {}

  /**
   * Another change was accepted first; this one was not and will not be.
   *
   * @param other the change that took the expected place
   * @param current the configuration that stands now
   */
  record ConflictsWith(ConfigurationHead other, ConfigurationHead current)
      implements ChangeResult {}

  /**
   * A part is larger than the platform takes; nothing was changed.
   *
   * @param partName the part's name
   * @param size its bytes
   */
  record PartTooLarge(String partName, int size) implements ChangeResult {}

  /**
   * The platform could not be reached or refused; the change was not accepted and will not be.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements ChangeResult {}

  /**
   * The change may have been accepted or may still be: propose it again with the same identifier.
   *
   * @param changeId the identifier
   */
  record Undetermined(String changeId) implements ChangeResult {}
}
