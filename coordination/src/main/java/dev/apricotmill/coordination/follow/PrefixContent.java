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
 * The objects under a prefix at the newest revision that is known, and in which order they changed.
 *
 * <p>Never goes back to an older revision, whichever way an update comes. An update costs work in
 * proportion to what changed. Not safe for use by several threads.
 */
final class PrefixContent {

  /** The revision of a content that was never read. */
  static final long UNKNOWN_REVISION = -1;

  /** Removals that are remembered, so that a peer that is not far behind needs no whole content. */
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
   * Takes an update.
   *
   * @return what it changed, whole if it is the first; empty if it is older than what is known
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
      // What came and went since the last revision is not told.
      tombstonesCompleteSince = revision;
    }
    ImmutableList<StoredObject> changed =
        update.changed().stream().filter(this::isNew).collect(ImmutableList.toImmutableList());
    ImmutableList<ObjectKey> absent =
        update.snapshot() ? missingFrom(update.changed()) : update.removed();
    ImmutableList<ObjectKey> removed =
        absent.stream().filter(objects::containsKey).collect(ImmutableList.toImmutableList());
    changed.forEach(this::put);
    // A peer may know an object that came and went between two updates here.
    absent.forEach(this::remove);
    return Optional.of(new PrefixUpdate(false, changed, removed, revision));
  }

  /** Returns what a peer lacks that knows the content at another revision. */
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

  /** Forgets the removals of the oldest revision; its objects are known to be in each content. */
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
