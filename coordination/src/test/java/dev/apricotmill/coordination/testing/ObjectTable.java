package dev.apricotmill.coordination.testing;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ListResult;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StorePosition;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import java.util.Map;
import java.util.TreeMap;

/** The objects of {@link FakePlatform}; versions are store revisions, so none is used twice. */
final class ObjectTable {

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final TreeMap<String, Long> removals = new TreeMap<>();
  private long era;
  private long revision;
  private long compactedRevision;

  ReadResult get(ObjectKey key) {
    StoredObject object = objects.get(key.path());
    return object == null ? new ReadResult.NotFound() : new ReadResult.Found(object);
  }

  ListResult list(String prefix) {
    return new ListResult.Listed(
        ImmutableList.copyOf(
            objects.tailMap(prefix).values().stream()
                .takeWhile(object -> object.key().path().startsWith(prefix))
                .toList()),
        new StorePosition(era, revision));
  }

  WriteResult put(ObjectKey key, byte[] value, Precondition precondition) {
    if (value.length > Platform.MAX_VALUE_BYTES) {
      return new WriteResult.NotWritten(PlatformFailure.TOO_LARGE);
    }
    long version = versionOf(key);
    if (!precondition.holdsFor(version)) {
      return new WriteResult.Conflict(version);
    }
    revision++;
    objects.put(key.path(), new StoredObject(key, revision, value.clone()));
    removals.remove(key.path());
    return new WriteResult.Written(revision);
  }

  WriteResult delete(ObjectKey key, Precondition precondition) {
    long version = versionOf(key);
    if (!precondition.holdsFor(version)) {
      return new WriteResult.Conflict(version);
    }
    revision++;
    objects.remove(key.path());
    removals.put(key.path(), revision);
    return new WriteResult.Written(revision);
  }

  WatchResult changesSince(String prefix, long sinceRevision) {
    if (sinceRevision < compactedRevision || sinceRevision > revision) {
      return new WatchResult.Compacted();
    }
    ImmutableList<StoredObject> changed =
        objects.values().stream()
            .filter(
                object ->
                    object.key().path().startsWith(prefix) && object.version() > sinceRevision)
            .collect(ImmutableList.toImmutableList());
    ImmutableList<ObjectKey> removed =
        removals.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(prefix) && entry.getValue() > sinceRevision)
            .map(Map.Entry::getKey)
            .map(ObjectKey::new)
            .collect(ImmutableList.toImmutableList());
    return new WatchResult.Changes(changed, removed, new StorePosition(era, revision));
  }

  /** Returns the state that {@link #restore} brings back. */
  ObjectTable copy() {
    ObjectTable copy = new ObjectTable();
    copy.set(this);
    return copy;
  }

  /** Goes back to an earlier state; its revisions are given out again. */
  void restore(ObjectTable copy) {
    set(copy);
    era++;
  }

  private void set(ObjectTable other) {
    objects.clear();
    objects.putAll(other.objects);
    removals.clear();
    removals.putAll(other.removals);
    revision = other.revision;
    compactedRevision = other.compactedRevision;
  }

  void compact() {
    compactedRevision = revision;
  }

  private long versionOf(ObjectKey key) {
    StoredObject object = objects.get(key.path());
    return object == null ? 0 : object.version();
  }
}
