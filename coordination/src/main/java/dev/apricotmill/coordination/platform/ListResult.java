package dev.apricotmill.coordination.platform;

import com.google.common.collect.ImmutableList;

/** The result of listing objects by prefix. */
public sealed interface ListResult {

  /**
   * The objects under the prefix, ordered by path.
   *
   * @param objects the objects with their values
   * @param position the store's position of the list, from which a watch can continue
   */
  record Listed(ImmutableList<StoredObject> objects, StorePosition position) implements ListResult {

    /** Creates the list of a store that was never restored. */
    public Listed(ImmutableList<StoredObject> objects, long revision) {
      this(objects, StorePosition.of(revision));
    }

    /** Returns the store's revision of the list. */
    public long revision() {
      return position.revision();
    }
  }

  /**
   * The platform gave no usable response.
   *
   * @param failure the cause
   */
  record Unavailable(PlatformFailure failure) implements ListResult {}
}
