package dev.apricotmill.node.fleet;

import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** The load of each replica as last reported by its steward. Thread-safe. */
public final class ReplicaLoads {

  private final ConcurrentMap<ReplicaId, Observation> observations = new ConcurrentHashMap<>();

  /** Records a load that a steward reported. */
  public void observe(ReplicaId replica, ReplicaLoad load, long nowNanos) {
    observations.put(replica, new Observation(load, nowNanos));
  }

  /** Returns the last load of a replica, unknown if none was reported. */
  public Observation of(ReplicaId replica) {
    return observations.getOrDefault(replica, Observation.NONE);
  }

  /**
   * A load and the time at which it was received.
   *
   * @param load the load
   * @param observedNanos when it was received, on this daemon's monotonic clock
   */
  public record Observation(ReplicaLoad load, long observedNanos) {
    static final Observation NONE = new Observation(ReplicaLoad.UNKNOWN, 0);
  }
}
