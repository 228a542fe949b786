package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.FollowListener;
import dev.apricotmill.coordination.follow.FollowSettings;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Reads the evacuations that operators write to the platform's object store: one object for each
 * zone, of which only the name counts. Runs on the relay's executor.
 */
public final class EvacuationDirectory implements FollowListener {

  /** A request that was sent just before may wait so long for a connection to its server. */
  private static final Duration SENDING_TIME = Duration.ofMillis(400);

  /** The part of a short bound that is left for sending. */
  private static final int SENDING_DIVISOR = 10;

  private static final String EMPTY_OBJECT = "{}";

  private final String kind;
  private final EventLog log;
  private final EvacuatedZones evacuatedZones;
  private final Set<Zone> stored = new HashSet<>();

  /** The objects of which a fault was logged. */
  private final Set<ObjectKey> faulty = new HashSet<>();

  /**
   * Creates a directory that has read nothing.
   *
   * @param kind the key prefix of the objects, without the slash
   */
  public EvacuationDirectory(String kind, EventLog log, EvacuatedZones evacuatedZones) {
    this.kind = kind;
    this.log = log;
    this.evacuatedZones = evacuatedZones;
  }

  /**
   * Follows the evacuations of a deployment in which they are in force.
   *
   * @param kind the kind of their objects in the store
   * @param bound the time after which servers of an evacuated zone must get no more requests; empty
   *     if evacuations are not in force
   */
  public static void follow(
      SharedFollower follower,
      String kind,
      Optional<Duration> bound,
      EventLog log,
      EvacuatedZones evacuatedZones) {
    bound.ifPresent(
        time ->
            follower.follow(
                kind, followSettings(time), new EvacuationDirectory(kind, log, evacuatedZones)));
  }

  /**
   * Returns settings with which requests reach no server of a zone later than {@code bound} after
   * its evacuation.
   */
  public static FollowSettings followSettings(Duration bound) {
    return FollowSettings.within(
        bound.minus(Comparators.min(SENDING_TIME, bound.dividedBy(SENDING_DIVISOR))));
  }

  @Override
  public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    replaceAll(objects);
    evacuatedZones.update(stored);
  }

  @Override
  public void onStoreRestored(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
    replaceAll(objects);
    evacuatedZones.restore(stored);
  }

  private void replaceAll(ImmutableList<StoredObject> objects) {
    stored.clear();
    objects.forEach(this::add);
  }

  @Override
  public void onChanges(WatchResult.Changes changes, ReadTimestamp readAt) {
    if (changes.removed().isEmpty() && changes.changed().isEmpty()) {
      return;
    }
    for (ObjectKey key : changes.removed()) {
      faulty.remove(key);
      stored.removeIf(zone -> zone.name().equals(nameOf(key)));
    }
    changes.changed().forEach(this::add);
    evacuatedZones.update(stored);
  }

  @Override
  public void onUnavailable(PlatformFailure failure) {
    // The known evacuations stay in force; the clients of the store report outages.
  }

  private void add(StoredObject object) {
    String name = nameOf(object.key());
    if (name.isEmpty()) {
      logFault(object, "the object names no zone");
      return;
    }
    if (!object.text().equals(EMPTY_OBJECT)) {
      logFault(object, "not the empty object; only the name counts");
    }
    stored.add(new Zone(name));
  }

  private void logFault(StoredObject object, String reason) {
    if (faulty.add(object.key())) {
      log.write(
          "evacuation.unexpected_object",
          ImmutableMap.of("object", object.key().path(), "reason", reason));
    }
  }

  private String nameOf(ObjectKey key) {
    return key.path().substring(kind.length() + 1);
  }
}
