package dev.apricotmill.core.pool;

import com.google.common.collect.Comparators;
import dev.apricotmill.core.fairness.GcraLimiter;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The limits that servers have named of the requests a second that they take from all nodes
 * together, and the requests that were granted within them.
 *
 * <p>Not thread-safe.
 */
public final class LimitedServers {

  /** Above the number of servers of the largest deployment. */
  static final int MAX_SERVERS = 4_096;

  /** A server that gets no request at all cannot say that its limit has ended. */
  static final double MIN_REQUESTS_PER_SECOND = 1 / 60.0;

  /**
   * A response to a request that was sent this soon after a limit was named may have been written
   * before it.
   */
  static final Duration SETTLING_TIME = Duration.ofSeconds(1);

  /** The entry of a live server may be absent for as long as the store is down. */
  static final Duration MAX_ABSENCE = Duration.ofMinutes(10);

  /** The time whose requests may be granted at once. */
  private static final Duration BURST = Duration.ofMillis(100);

  private final Map<ReplicaId, NamedLimit> limits = new HashMap<>();

  /**
   * When the requests were sent whose responses showed the end of a limit; the earliest first.
   * Nodes that have not seen it may still report the limit.
   */
  private final Map<Instance, Long> endedLimits = new LinkedHashMap<>();

  /**
   * One run of a server.
   *
   * @param server its identifier
   * @param startedMillis when it started, in milliseconds of Unix time
   */
  public record Instance(ReplicaId server, long startedMillis) {

    /** Returns the run of a server that a list names. */
    public static Instance of(BackendServer server) {
      return new Instance(server.id(), server.startedMillis());
    }
  }

  /** The limit of one instance. */
  private static final class NamedLimit {

    private final Instance instance;
    private final GcraLimiter limiter;
    private double requestsPerSecond;
    private long namedNanos;

    /** A server in need begins with nothing to spare. */
    NamedLimit(Instance instance, double requestsPerSecond, long namedNanos, long nowNanos) {
      this.instance = instance;
      this.requestsPerSecond = requestsPerSecond;
      this.namedNanos = namedNanos;
      limiter = new GcraLimiter(BURST, nowNanos);
      limiter.take(GcraLimiter.cost(1, requestsPerSecond), nowNanos);
    }

    Duration timeUntilFree(long nowNanos) {
      return Duration.ofNanos(limiter.take(0, nowNanos));
    }
  }

  /** Returns whether no server has a limit. */
  public boolean isEmpty() {
    return limits.isEmpty();
  }

  /** Returns the number of servers with a limit. */
  public int size() {
    return limits.size();
  }

  /**
   * Records that an instance has named a limit.
   *
   * @param namedNanos when the response arrived that named it
   * @return whether the limit is new or another one than before
   */
  public boolean name(Instance instance, double requestsPerSecond, long namedNanos, long nowNanos) {
    double accepted = Math.max(requestsPerSecond, MIN_REQUESTS_PER_SECOND);
    NamedLimit limit = limits.get(instance.server());
    if ((limit != null && limit.instance.startedMillis() > instance.startedMillis())
        || isOutdated(instance, namedNanos)) {
      return false;
    }
    if (limit == null || limit.instance.startedMillis() < instance.startedMillis()) {
      add(new NamedLimit(instance, accepted, namedNanos, nowNanos));
      return true;
    }
    if (limit.namedNanos - namedNanos > 0) {
      return false;
    }
    boolean changed = limit.requestsPerSecond != accepted;
    limit.requestsPerSecond = accepted;
    limit.namedNanos = namedNanos;
    return changed;
  }

  /** Returns whether a response to a later request has named no limit. */
  private boolean isOutdated(Instance instance, long namedNanos) {
    Long endedNanos = endedLimits.get(instance);
    return endedNanos != null && endedNanos - namedNanos >= 0;
  }

  private void add(NamedLimit limit) {
    if (limits.size() >= MAX_SERVERS) {
      limits.values().stream()
          .min(Comparator.comparingLong(other -> other.namedNanos - limit.namedNanos))
          .ifPresent(oldest -> limits.remove(oldest.instance.server()));
    }
    limits.put(limit.instance.server(), limit);
  }

  /**
   * Records a response that named no limit.
   *
   * @param sentNanos when its request was sent
   * @return whether this shows that the limit has ended
   */
  public boolean respondWithout(Instance instance, long sentNanos) {
    return find(instance)
        .filter(limit -> sentNanos - limit.namedNanos >= SETTLING_TIME.toNanos())
        .map(limit -> end(instance, sentNanos))
        .orElse(false);
  }

  private boolean end(Instance instance, long sentNanos) {
    limits.remove(instance.server());
    endedLimits.remove(instance);
    endedLimits.put(instance, sentNanos);
    if (endedLimits.size() > MAX_SERVERS) {
      endedLimits.remove(endedLimits.keySet().iterator().next());
    }
    return true;
  }

  /** Forgets the limit of an instance. */
  public void forget(Instance instance) {
    find(instance).ifPresent(limit -> limits.remove(instance.server()));
  }

  /** Forgets the limits of instances that no list names and that have long been silent. */
  public void forgetAbsent(Set<Instance> listed, long nowNanos) {
    limits
        .values()
        .removeIf(
            limit ->
                !listed.contains(limit.instance)
                    && nowNanos - limit.namedNanos >= MAX_ABSENCE.toNanos());
  }

  /** Returns when the last response arrived that named the limit of an instance. */
  public OptionalLong namedNanos(Instance instance) {
    return find(instance)
        .map(limit -> OptionalLong.of(limit.namedNanos))
        .orElse(OptionalLong.empty());
  }

  /** Returns the limit of an instance in requests a second; empty if it has none. */
  public OptionalDouble requestsPerSecond(Instance instance) {
    return find(instance)
        .map(limit -> OptionalDouble.of(limit.requestsPerSecond))
        .orElse(OptionalDouble.empty());
  }

  /** Returns the time until a server may get its next request; zero if it may now. */
  public Duration timeUntilFree(BackendServer server, long nowNanos) {
    return find(Instance.of(server))
        .map(limit -> limit.timeUntilFree(nowNanos))
        .orElse(Duration.ZERO);
  }

  /**
   * Takes a request from what a server's limit allows.
   *
   * @param share the share of the limit that the caller grants from; above 0
   */
  public void take(BackendServer server, double share, long nowNanos) {
    find(Instance.of(server))
        .ifPresent(
            limit ->
                limit.limiter.take(GcraLimiter.cost(1, limit.requestsPerSecond * share), nowNanos));
  }

  /** Returns the shortest time until one of some servers may get a request. */
  public Optional<Duration> timeUntilAnyIsFree(Iterable<BackendServer> servers, long nowNanos) {
    Optional<Duration> shortest = Optional.empty();
    for (BackendServer server : servers) {
      Duration wait = timeUntilFree(server, nowNanos);
      shortest = Optional.of(shortest.map(other -> Comparators.min(other, wait)).orElse(wait));
    }
    return shortest;
  }

  private Optional<NamedLimit> find(Instance instance) {
    return Optional.ofNullable(limits.get(instance.server()))
        .filter(limit -> limit.instance.equals(instance));
  }
}
