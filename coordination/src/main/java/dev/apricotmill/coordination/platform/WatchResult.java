package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The answer to one waiting watch. */
public sealed interface WatchResult {

  /**
   * What changed after the given revision; empty when the wait ran out.
   *
   * @param changed the changed objects, each once with its newest value
   * @param removed the objects that no longer exist
   * @param revision the revision to go on from
   */
  record Changes(
      ImmutableList<StoredObject> changed, ImmutableList<ObjectKey> removed, long revision)
      implements WatchResult {}

  /** The platform no longer holds the changes since the given revision: list again. */
  record Compacted() implements WatchResult {}

  /**
   * The platform gave no usable answer.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements WatchResult {}
}
