package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;

/** Learns what the store holds under a prefix. */
public interface FollowListener {

  /** Takes the whole content, which replaces all that was known. */
  void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt);

  /** Takes changes since the last call; none, if only time has passed. */
  void onChanges(WatchResult.Changes changes, ReadTimestamp readAt);

  /** Learns that the store gave no usable answer. */
  void onUnavailable(PlatformFailure failure);
}
