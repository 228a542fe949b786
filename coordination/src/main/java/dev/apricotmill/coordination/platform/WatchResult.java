package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The result of one watch. */
public sealed interface WatchResult {

  /**
   * The changes after the given revision; empty if the maximum wait has passed without a change.
   *
   * @param changed the changed objects, each once with its newest value
   * @param removed the keys of deleted objects
   * @param revision the revision from which the next watch continues
   */
  record Changes(
      ImmutableList<StoredObject> changed, ImmutableList<ObjectKey> removed, long revision)
      implements WatchResult {}

  /** The platform no longer has the changes since the given revision; the caller lists again. */
  record Compacted() implements WatchResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements WatchResult {}
}
