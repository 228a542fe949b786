package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StoredObject;

/**
 * The changes under a prefix up to a revision of the store, or a snapshot at that revision.
 *
 * @param snapshot whether {@code changed} holds all objects at that revision
 * @param changed the changed objects, each once
 * @param removed the removed objects; empty if {@code snapshot}
 * @param revision the store's revision after the changes
 */
public record PrefixUpdate(
    boolean snapshot,
    ImmutableList<StoredObject> changed,
    ImmutableList<ObjectKey> removed,
    long revision) {

  /** Returns whether the update carries only a revision. */
  public boolean isEmpty() {
    return !snapshot && changed.isEmpty() && removed.isEmpty();
  }
}
