package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The availability zones whose servers get no new requests of this node until operators end the
 * evacuation. Requests that run there finish.
 *
 * <p>A zone that is missing from a store that was restored from an older copy stays evacuated for
 * as long as its object may still be written again. Runs on the relay's executor, apart from {@link
 * #count}.
 */
public final class EvacuatedZones {

  private final Timing timing;
  private final EventLog log;
  private final boolean followed;
  private final Map<Zone, Long> beganNanos = new HashMap<>();

  /** Until when zones stay evacuated that a restored store lacks. */
  private final Map<Zone, Long> keptUntilNanos = new HashMap<>();

  private ImmutableSet<Zone> stored = ImmutableSet.of();
  private volatile ImmutableSet<Zone> zones = ImmutableSet.of();
  private Runnable listener = () -> {};
  private boolean known;

  private EvacuatedZones(Timing timing, EventLog log, boolean followed) {
    this.timing = timing;
    this.log = log;
    this.followed = followed;
    known = !followed;
  }

  /** Returns the zones of a node; evacuations are in force if there is a bound for them. */
  public static EvacuatedZones within(Optional<Duration> bound, Timing timing, EventLog log) {
    return bound.isPresent() ? followed(timing, log) : notFollowed(timing);
  }

  /** Returns the zones of a deployment in which evacuations are not in force: always none. */
  public static EvacuatedZones notFollowed(Timing timing) {
    return new EvacuatedZones(timing, EventLog.NONE, /* followed= */ false);
  }

  /** Returns the zones of a node that has not read the evacuations yet. */
  public static EvacuatedZones followed(Timing timing, EventLog log) {
    return new EvacuatedZones(timing, log, /* followed= */ true);
  }

  /** Sets who learns of each change, and of the first read also if no zone is evacuated. */
  void setListener(Runnable newListener) {
    listener = newListener;
  }

  /** Returns whether evacuations are in force in this deployment. */
  boolean isFollowed() {
    return followed;
  }

  /** Returns whether the evacuations were read; before that, no server may get a request. */
  boolean isKnown() {
    return known;
  }

  /** Returns the evacuated zones. */
  ImmutableSet<Zone> zones() {
    return zones;
  }

  /** Returns how many zones are evacuated; thread-safe. */
  int count() {
    return zones.size();
  }

  /** Returns servers with those of the evacuated zones as accepting no new requests. */
  ImmutableMap<ReplicaId, BackendServer> apply(ImmutableMap<ReplicaId, BackendServer> servers) {
    if (zones.isEmpty()) {
      return servers;
    }
    return ImmutableMap.copyOf(
        Maps.transformValues(
            servers, server -> zones.contains(server.zone()) ? server.asLeaving() : server));
  }

  /** Takes the zones whose evacuation the store holds. */
  void update(Set<Zone> newStored) {
    stored = ImmutableSet.copyOf(newStored);
    keptUntilNanos.keySet().removeAll(stored);
    applyChange("REMOVED");
  }

  /** Takes the zones of a store that was restored from an older copy; keeps the others a while. */
  void restore(Set<Zone> newStored) {
    long untilNanos = timing.nanoTime() + RestoredServerList.REWRITE_TIME.toNanos();
    for (Zone zone : Sets.difference(zones, newStored)) {
      keptUntilNanos.put(zone, untilNanos);
      log.write(
          "evacuation.kept",
          ImmutableMap.of(
              "zone", zone.name(), "for_ms", RestoredServerList.REWRITE_TIME.toMillis()));
    }
    update(newStored);
    timing.schedule(RestoredServerList.REWRITE_TIME, this::dropKept);
  }

  private void dropKept() {
    long now = timing.nanoTime();
    keptUntilNanos.values().removeIf(untilNanos -> untilNanos - now <= 0);
    applyChange("NOT_WRITTEN_AGAIN");
  }

  private void applyChange(String endCause) {
    ImmutableSet<Zone> before = zones;
    zones = Sets.union(stored, keptUntilNanos.keySet()).immutableCopy();
    long now = timing.nanoTime();
    for (Zone zone : Sets.difference(zones, before)) {
      beganNanos.put(zone, now);
      log.write("evacuation.began", ImmutableMap.of("zone", zone.name()));
    }
    for (Zone zone : Sets.difference(before, zones)) {
      long lastedNanos = now - beganNanos.remove(zone);
      log.write(
          "evacuation.ended",
          ImmutableMap.of(
              "zone",
              zone.name(),
              "cause",
              endCause,
              "lasted_ms",
              TimeUnit.NANOSECONDS.toMillis(lastedNanos)));
    }
    if (!known || !zones.equals(before)) {
      known = true;
      listener.run();
    }
  }
}
