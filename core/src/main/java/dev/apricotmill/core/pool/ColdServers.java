package dev.apricotmill.core.pool;

import com.google.common.collect.Comparators;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which server instances are cold, and until when.
 *
 * <p>Handles entries that are written about once a second, are delivered more than once, and whose
 * delivery may end at any time. Not thread-safe.
 */
public final class ColdServers {

  /** A statement above this is taken for a mistake; servers warm up within seconds. */
  static final Duration MAX_COLD_TIME = Duration.ofMinutes(1);

  private final Map<ReplicaId, Warming> warmings = new HashMap<>();
  private boolean hasStatement;
  private long latestUntilNanos;

  /** What is known of the warm-up of one instance. */
  private static final class Warming {

    private final LimitedServers.Instance instance;
    private boolean hasEntry;
    private long entryVersion;
    private long entryUntilNanos;
    private long otherUntilNanos;

    Warming(LimitedServers.Instance instance, long nowNanos) {
      this.instance = instance;
      entryUntilNanos = nowNanos;
      otherUntilNanos = nowNanos;
    }

    long untilNanos() {
      return otherUntilNanos - entryUntilNanos > 0 ? otherUntilNanos : entryUntilNanos;
    }
  }

  /**
   * Records the entry of an instance. The same version of an entry changes nothing when it is
   * delivered again.
   *
   * @param entryVersion the version of the entry
   * @param left how long the server is still cold, from when the entry is read
   */
  public void onEntry(
      LimitedServers.Instance instance, long entryVersion, Duration left, long nowNanos) {
    Warming warming = warmingOf(instance, nowNanos);
    if (!warming.hasEntry || warming.entryVersion != entryVersion) {
      warming.hasEntry = true;
      warming.entryVersion = entryVersion;
      warming.entryUntilNanos = nowNanos + capped(left).toNanos();
      extendLatest(warming.entryUntilNanos);
    }
  }

  /**
   * Records that an instance is cold for at least some time, as a response or its start tells.
   * Never shortens what is known, since a response may be older than the warm-up.
   */
  public void onCold(LimitedServers.Instance instance, Duration left, long nowNanos) {
    Warming warming = warmingOf(instance, nowNanos);
    long untilNanos = nowNanos + capped(left).toNanos();
    if (untilNanos - warming.otherUntilNanos > 0) {
      warming.otherUntilNanos = untilNanos;
      extendLatest(untilNanos);
    }
  }

  private void extendLatest(long untilNanos) {
    latestUntilNanos =
        hasStatement && latestUntilNanos - untilNanos > 0 ? latestUntilNanos : untilNanos;
    hasStatement = true;
  }

  /** Returns whether any instance may be cold. */
  public boolean mayHaveCold(long nowNanos) {
    return hasStatement && latestUntilNanos - nowNanos > 0;
  }

  private static Duration capped(Duration left) {
    return Comparators.max(Duration.ZERO, Comparators.min(left, MAX_COLD_TIME));
  }

  private Warming warmingOf(LimitedServers.Instance instance, long nowNanos) {
    Warming warming = warmings.get(instance.server());
    if (warming == null || !warming.instance.equals(instance)) {
      warming = new Warming(instance, nowNanos);
      warmings.put(instance.server(), warming);
    }
    return warming;
  }

  /** Returns how long an instance is still cold; zero if it is not. */
  public Duration timeLeft(LimitedServers.Instance instance, long nowNanos) {
    Warming warming = warmings.get(instance.server());
    return warming == null || !warming.instance.equals(instance)
        ? Duration.ZERO
        : Duration.ofNanos(Math.max(0, warming.untilNanos() - nowNanos));
  }

  /** Returns whether an instance is cold. */
  public boolean isCold(LimitedServers.Instance instance, long nowNanos) {
    return !timeLeft(instance, nowNanos).isZero();
  }

  /** Forgets warm instances that no list names. */
  public void retainAll(Set<LimitedServers.Instance> listed, long nowNanos) {
    warmings
        .values()
        .removeIf(
            warming -> !listed.contains(warming.instance) && warming.untilNanos() - nowNanos <= 0);
  }
}
