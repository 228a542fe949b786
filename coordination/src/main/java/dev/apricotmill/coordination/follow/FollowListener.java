package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;

/** Receives the objects that the store holds under a prefix. */
public interface FollowListener {

  /** Receives all objects; they replace everything received before. */
  void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt);

  /**
   * Receives all objects of a store that was restored from an older copy. What was written since
   * the copy is missing until it is written again.
   */
  default void onStoreRestored(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    onSnapshot(objects, readAt);
  }

  /** Receives the changes since the last call; none if the content was only validated again. */
  void onChanges(WatchResult.Changes changes, ReadTimestamp readAt);

  /** Called when a read of the store failed. */
  void onUnavailable(PlatformFailure failure);
}
