package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StoredObject;

/**
 * What changed under a prefix up to a revision of the store.
 *
 * @param snapshot whether {@code changed} is all that there is at that revision
 * @param changed the changed objects, each once
 * @param removed objects that are gone; empty if {@code whole}
 * @param revision the store's revision at which this was true
 */
public record PrefixUpdate(
    boolean snapshot,
    ImmutableList<StoredObject> changed,
    ImmutableList<ObjectKey> removed,
    long revision) {

  /** Returns whether nothing but the revision is told. */
  public boolean isEmpty() {
    return !snapshot && changed.isEmpty() && removed.isEmpty();
  }
}
