package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StorePosition;
import dev.apricotmill.coordination.platform.StoredObject;

/**
 * The changes under a prefix up to a position of the store, or a snapshot at that position.
 *
 * @param snapshot whether {@code changed} holds all objects at that position
 * @param changed the changed objects, each once
 * @param removed the removed objects; empty if {@code snapshot}
 * @param position the store's position after the changes
 */
public record PrefixUpdate(
    boolean snapshot,
    ImmutableList<StoredObject> changed,
    ImmutableList<ObjectKey> removed,
    StorePosition position) {

  /** Creates an update of a store that was never restored. */
  public PrefixUpdate(
      boolean snapshot,
      ImmutableList<StoredObject> changed,
      ImmutableList<ObjectKey> removed,
      long revision) {
    this(snapshot, changed, removed, StorePosition.of(revision));
  }

  /** Returns whether the update carries only a position. */
  public boolean isEmpty() {
    return !snapshot && changed.isEmpty() && removed.isEmpty();
  }
}
