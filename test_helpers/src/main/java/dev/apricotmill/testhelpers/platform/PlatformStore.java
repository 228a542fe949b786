package dev.apricotmill.testhelpers.platform;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * A store of versioned objects with conditional writes. A version is the revision of the store at
 * the object's last write, so that it never goes back.
 */
final class PlatformStore {

  private static final int KEPT_REMOVALS = 10_000;

  /** A removed object. */
  private record Removal(String path, long revision) {}

  private final NavigableMap<String, StoredObject> objects = new TreeMap<>();
  private final Deque<Removal> removals = new ArrayDeque<>();
  private final List<Runnable> watchers = new ArrayList<>();
  private long revision;
  private long forgottenRevision;

  synchronized ReadResult get(ObjectKey key) {
    StoredObject object = objects.get(key.path());
    return object == null ? new ReadResult.NotFound() : new ReadResult.Found(object);
  }

  synchronized ImmutableList<StoredObject> list(String prefix) {
    return objects.tailMap(prefix).values().stream()
        .takeWhile(object -> object.key().path().startsWith(prefix))
        .collect(ImmutableList.toImmutableList());
  }

  synchronized long revision() {
    return revision;
  }

  WriteResult put(ObjectKey key, byte[] value, Precondition precondition) {
    WriteResult result = tryPut(key, value, precondition);
    notifyWatchers(result);
    return result;
  }

  private synchronized WriteResult tryPut(ObjectKey key, byte[] value, Precondition precondition) {
    long current = versionOf(key);
    if (!precondition.holdsFor(current)) {
      return new WriteResult.Conflict(current);
    }
    revision++;
    objects.put(key.path(), new StoredObject(key, revision, value));
    return new WriteResult.Written(revision);
  }

  WriteResult delete(ObjectKey key, Precondition precondition) {
    WriteResult result = tryDelete(key, precondition);
    notifyWatchers(result);
    return result;
  }

  private synchronized WriteResult tryDelete(ObjectKey key, Precondition precondition) {
    long current = versionOf(key);
    if (!precondition.holdsFor(current)) {
      return new WriteResult.Conflict(current);
    }
    revision++;
    if (objects.remove(key.path()) != null) {
      rememberRemoval(key);
    }
    return new WriteResult.Written(revision);
  }

  private void rememberRemoval(ObjectKey key) {
    removals.add(new Removal(key.path(), revision));
    if (removals.size() > KEPT_REMOVALS) {
      forgottenRevision = removals.remove().revision();
    }
  }

  private long versionOf(ObjectKey key) {
    StoredObject object = objects.get(key.path());
    return object == null ? 0 : object.version();
  }

  /** Returns what changed under a prefix after a revision. */
  synchronized WatchResult changes(String prefix, long after) {
    if (after < forgottenRevision || after > revision) {
      return new WatchResult.Compacted();
    }
    ImmutableList<StoredObject> changed =
        list(prefix).stream()
            .filter(object -> object.version() > after)
            .collect(ImmutableList.toImmutableList());
    ImmutableList<ObjectKey> removed =
        removals.stream()
            .filter(removal -> removal.revision() > after && removal.path().startsWith(prefix))
            .map(Removal::path)
            .filter(path -> !objects.containsKey(path))
            .distinct()
            .map(ObjectKey::new)
            .collect(ImmutableList.toImmutableList());
    return new WatchResult.Changes(changed, removed, revision);
  }

  /** Runs {@code watcher} after every write until it is removed. */
  synchronized void addWatcher(Runnable watcher) {
    watchers.add(watcher);
  }

  synchronized void removeWatcher(Runnable watcher) {
    watchers.remove(watcher);
  }

  private void notifyWatchers(WriteResult result) {
    if (result instanceof WriteResult.Written) {
      copyOfWatchers().forEach(Runnable::run);
    }
  }

  private synchronized List<Runnable> copyOfWatchers() {
    return List.copyOf(watchers);
  }
}
