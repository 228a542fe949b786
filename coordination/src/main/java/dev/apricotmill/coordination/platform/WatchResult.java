package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The result of one watch. */
public sealed interface WatchResult {

  /**
   * The changes after the given revision; empty if the maximum wait has passed without a change.
   *
   * @param changed the changed objects, each once with its newest value
   * @param removed the keys of deleted objects
   * @param position the position from which the next watch continues; in a later era than that of
   *     the given revision, the changes say nothing
   */
  record Changes(
      ImmutableList<StoredObject> changed, ImmutableList<ObjectKey> removed, StorePosition position)
      implements WatchResult {

    /** Creates the changes of a store that was never restored. */
    public Changes(
        ImmutableList<StoredObject> changed, ImmutableList<ObjectKey> removed, long revision) {
      this(changed, removed, StorePosition.of(revision));
    }

    /** Returns the revision from which the next watch continues. */
    public long revision() {
      return position.revision();
    }
  }

  /** The platform no longer has the changes since the given revision; the caller lists again. */
  record Compacted() implements WatchResult {}

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements WatchResult {}
}
