package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.StorePosition;
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
 * The objects under a prefix at the newest known position, and the order in which they changed.
 *
 * <p>The position never goes back, whether an update comes from the store or from a peer. A
 * snapshot of a later era replaces everything, since revisions of different eras cannot be
 * compared. Applying an update takes time in proportion to its size. Not thread-safe.
 */
final class PrefixContent {

  /** Tombstones let a peer that is only slightly behind catch up without a snapshot. */
  private static final int MAX_TOMBSTONES = 1024;

  private final Map<ObjectKey, StoredObject> objects = new HashMap<>();
  private final Map<ObjectKey, Long> lastChangedAt = new HashMap<>();
  private final NavigableMap<Long, Set<ObjectKey>> keysByRevision = new TreeMap<>();
  private StorePosition position = StorePosition.UNKNOWN;
  private long tombstonesCompleteSince = StorePosition.UNKNOWN.revision();
  private int tombstones;

  StorePosition position() {
    return position;
  }

  boolean isKnown() {
    return !position.equals(StorePosition.UNKNOWN);
  }

  /**
   * Applies an update.
   *
   * @return what it changed, a snapshot if it is the first one or the first of its era; empty if
   *     the update is older than the known position, or is not a snapshot and nothing is known yet
   */
  Optional<PrefixUpdate> apply(PrefixUpdate update) {
    boolean isFirst = !isKnown() || update.position().era() > position.era();
    if (update.position().isBefore(position) || (isFirst && !update.snapshot())) {
      return Optional.empty();
    }
    position = update.position();
    if (update.snapshot()) {
      // A snapshot does not show objects that were created and removed since the last revision.
      tombstonesCompleteSince = position.revision();
    }
    if (isFirst) {
      clear();
      update.changed().forEach(this::put);
      return Optional.of(update);
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
    return Optional.of(new PrefixUpdate(false, changed, removed, position));
  }

  private void clear() {
    objects.clear();
    lastChangedAt.clear();
    keysByRevision.clear();
    tombstones = 0;
  }

  /**
   * Returns the update for a peer that knows the content at {@code peerPosition}; an empty one if
   * the peer knows a later era.
   */
  PrefixUpdate updateSince(StorePosition peerPosition) {
    if (peerPosition.era() > position.era()) {
      return new PrefixUpdate(false, ImmutableList.of(), ImmutableList.of(), position);
    }
    if (peerPosition.era() < position.era() || peerPosition.revision() < tombstonesCompleteSince) {
      return new PrefixUpdate(
          true, ImmutableList.copyOf(objects.values()), ImmutableList.of(), position);
    }
    ImmutableList.Builder<StoredObject> changed = ImmutableList.builder();
    ImmutableList.Builder<ObjectKey> removed = ImmutableList.builder();
    for (Set<ObjectKey> keys : keysByRevision.tailMap(peerPosition.revision(), false).values()) {
      for (ObjectKey key : keys) {
        Optional.ofNullable(objects.get(key)).ifPresentOrElse(changed::add, () -> removed.add(key));
      }
    }
    return new PrefixUpdate(false, changed.build(), removed.build(), position);
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
    Long previous = lastChangedAt.put(key, position.revision());
    if (previous != null) {
      keysByRevision.computeIfPresent(
          previous,
          (at, keys) -> {
            keys.remove(key);
            return keys.isEmpty() ? null : keys;
          });
    }
    keysByRevision.computeIfAbsent(position.revision(), at -> new LinkedHashSet<>()).add(key);
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
