package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.follow.FollowListener;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.time.Timing;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Records which evacuations a node was told of, before the node handles them. */
final class EvacuationWitness implements FollowListener {

  private final FollowListener node;
  private final Timing timing;
  private final Set<String> told = new HashSet<>();
  private final Map<String, Long> keptUntilNanos = new HashMap<>();
  private boolean hasRead;

  EvacuationWitness(FollowListener node, Timing timing) {
    this.node = node;
    this.timing = timing;
  }

  /** Returns whether the node was told anything since it started. */
  boolean hasRead() {
    return hasRead;
  }

  /** Returns whether the node must take this zone for evacuated. */
  boolean knowsOf(String zone) {
    Long keptUntil = keptUntilNanos.get(zone);
    return told.contains(zone) || (keptUntil != null && keptUntil - timing.nanoTime() > 0);
  }

  @Override
  public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    hasRead = true;
    replaceAll(objects);
    node.onSnapshot(objects, readAt);
  }

  @Override
  public void onStoreRestored(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    Set<String> before = new HashSet<>(told);
    replaceAll(objects);
    long untilNanos = timing.nanoTime() + RestoredServerList.REWRITE_TIME.toNanos();
    before.stream()
        .filter(zone -> !told.contains(zone))
        .forEach(zone -> keptUntilNanos.put(zone, untilNanos));
    node.onStoreRestored(objects, readAt);
  }

  private void replaceAll(ImmutableList<StoredObject> objects) {
    told.clear();
    objects.forEach(object -> add(object.key()));
  }

  @Override
  public void onChanges(WatchResult.Changes changes, ReadTimestamp readAt) {
    changes.removed().forEach(key -> told.remove(zoneOf(key)));
    changes.changed().forEach(object -> add(object.key()));
    node.onChanges(changes, readAt);
  }

  @Override
  public void onUnavailable(PlatformFailure failure) {
    node.onUnavailable(failure);
  }

  private void add(ObjectKey key) {
    told.add(zoneOf(key));
    keptUntilNanos.remove(zoneOf(key));
  }

  private static String zoneOf(ObjectKey key) {
    return key.path().substring(EvacuationFleet.KIND.length() + 1);
  }
}
