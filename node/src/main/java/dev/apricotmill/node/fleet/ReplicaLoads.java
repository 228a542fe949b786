package dev.apricotmill.node.fleet;

import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.StewardLoad;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** The load of each replica as its steward told it last. Safe for use by several threads. */
public final class ReplicaLoads {

  private final ConcurrentMap<ReplicaId, Observation> observations = new ConcurrentHashMap<>();

  /** Notes what a steward told. */
  public void observe(ReplicaId replica, StewardLoad load, long nowNanos) {
    observations.put(replica, new Observation(load, nowNanos));
  }

  /** Returns what is known of a replica's load. */
  public Observation of(ReplicaId replica) {
    return observations.getOrDefault(replica, Observation.NONE);
  }

  /**
   * A load and its age.
   *
   * @param load the load
   * @param observedNanos when it was heard, on the own monotonic clock
   */
  public record Observation(StewardLoad load, long observedNanos) {
    static final Observation NONE = new Observation(StewardLoad.UNKNOWN, 0);
  }
}
