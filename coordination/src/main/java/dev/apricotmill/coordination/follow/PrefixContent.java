package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StoredObject;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The objects under a prefix at the newest known revision, and the order in which they changed.
 *
 * <p>The revision never decreases, whether an update comes from the store or from a peer. Applying
 * an update takes time in proportion to its size. Not thread-safe.
 */
final class PrefixContent {

  /** The revision before the first update. */
  static final long UNKNOWN_REVISION = -1;

  /** Tombstones let a peer that is only slightly behind catch up without a snapshot. */
  private static final int MAX_TOMBSTONES = 1024;

  private final Map<ObjectKey, StoredObject> objects = new HashMap<>();
  private final Map<ObjectKey, Long> lastChangedAt = new HashMap<>();
  private final NavigableMap<Long, Set<ObjectKey>> keysByRevision = new TreeMap<>();
  private long revision = UNKNOWN_REVISION;
  private long tombstonesCompleteSince = UNKNOWN_REVISION;
  private int tombstones;

  long revision() {
    return revision;
  }

  boolean isKnown() {
    return revision != UNKNOWN_REVISION;
  }

  /**
   * Applies an update.
   *
   * @return what it changed, a snapshot if it is the first; empty if the update is older than the
   *     known revision, or is not a snapshot and nothing is known yet
   */
  Optional<PrefixUpdate> apply(PrefixUpdate update) {
    if (update.revision() < revision || (!isKnown() && !update.snapshot())) {
      return Optional.empty();
    }
    if (!isKnown()) {
      revision = update.revision();
      tombstonesCompleteSince = revision;
      update.changed().forEach(this::put);
      return Optional.of(update);
    }
    revision = update.revision();
    if (update.snapshot()) {
      // A snapshot does not show objects that were created and removed since the last revision.
      tombstonesCompleteSince = revision;
    }
    ImmutableList<StoredObject> changed =
        update.changed().stream().filter(this::isNew).collect(ImmutableList.toImmutableList());
    ImmutableList<ObjectKey> absent =
        update.snapshot() ? missingFrom(update.changed()) : update.removed();
    ImmutableList<ObjectKey> removed =
        absent.stream().filter(objects::containsKey).collect(ImmutableList.toImmutableList());
    changed.forEach(this::put);
    // A peer may know an object that was created and removed between two updates here.
    absent.forEach(this::remove);
    return Optional.of(new PrefixUpdate(false, changed, removed, revision));
  }

  /** Returns the update for a peer that knows the content at {@code peerRevision}. */
  PrefixUpdate updateSince(long peerRevision) {
    if (peerRevision < tombstonesCompleteSince) {
      return new PrefixUpdate(
          true, ImmutableList.copyOf(objects.values()), ImmutableList.of(), revision);
    }
    ImmutableList.Builder<StoredObject> changed = ImmutableList.builder();
    ImmutableList.Builder<ObjectKey> removed = ImmutableList.builder();
    for (Set<ObjectKey> keys : keysByRevision.tailMap(peerRevision, false).values()) {
      for (ObjectKey key : keys) {
        Optional.ofNullable(objects.get(key)).ifPresentOrElse(changed::add, () -> removed.add(key));
      }
    }
    return new PrefixUpdate(false, changed.build(), removed.build(), revision);
  }

  private boolean isNew(StoredObject object) {
    StoredObject known = objects.get(object.key());
    return known == null || known.version() < object.version();
  }

  private ImmutableList<ObjectKey> missingFrom(ImmutableList<StoredObject> snapshot) {
    Set<ObjectKey> present = snapshot.stream().map(StoredObject::key).collect(Collectors.toSet());
    return objects.keySet().stream()
        .filter(key -> !present.contains(key))
        .collect(ImmutableList.toImmutableList());
  }

  private void put(StoredObject object) {
    if (objects.put(object.key(), object) == null && lastChangedAt.containsKey(object.key())) {
      tombstones--;
    }
    recordChange(object.key());
  }

  private void remove(ObjectKey key) {
    if (objects.remove(key) != null || !lastChangedAt.containsKey(key)) {
      tombstones++;
    }
    recordChange(key);
    while (tombstones > MAX_TOMBSTONES) {
      evictOldestRevision();
    }
  }

  private void recordChange(ObjectKey key) {
    Long previous = lastChangedAt.put(key, revision);
    if (previous != null) {
      keysByRevision.computeIfPresent(
          previous,
          (at, keys) -> {
            keys.remove(key);
            return keys.isEmpty() ? null : keys;
          });
    }
    keysByRevision.computeIfAbsent(revision, at -> new LinkedHashSet<>()).add(key);
  }

  /**
   * Drops the tombstones of the oldest revision. Its objects need no entry any more: peers at an
   * older revision get a snapshot, and all others have these objects already.
   */
  private void evictOldestRevision() {
    Map.Entry<Long, Set<ObjectKey>> oldest = keysByRevision.pollFirstEntry();
    tombstonesCompleteSince = Math.max(tombstonesCompleteSince, oldest.getKey());
    for (ObjectKey key : oldest.getValue()) {
      if (!objects.containsKey(key)) {
        lastChangedAt.remove(key);
        tombstones--;
      }
    }
  }
}
