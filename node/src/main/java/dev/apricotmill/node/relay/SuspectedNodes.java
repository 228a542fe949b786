package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The nodes that are not asked to dispatch for a while. Silent ones are probed. Runs on the relay's
 * executor.
 */
final class SuspectedNodes {

  /** A zone with at least this many suspected nodes counts as unreachable. */
  private static final int SUSPECTED_NODES_OF_LOST_ZONE = 2;

  private static final Duration MIN_SUSPICION = Duration.ofMillis(500);

  /** How often a silent node is probed; limits how late the end of a partition is detected. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(500);

  /** Covers a round trip between zones and the scheduling delay of a busy process. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

  private static final Duration MAX_SUSPICION = Duration.ofSeconds(8);

  private final Timing timing;
  private final DispatcherClient client;
  private final Member self;
  private final EventLog log;
  private final Map<Member, Suspicion> suspicions = new HashMap<>();

  SuspectedNodes(Timing timing, DispatcherClient client, Member self, EventLog log) {
    this.timing = timing;
    this.client = client;
    this.self = self;
    this.log = log;
  }

  /**
   * A dispatcher that is not asked for a while because it declined a request or did not respond.
   *
   * @param untilNanos when it may be asked again
   * @param duration how long the suspicion lasts; the next one lasts twice as long
   * @param silent whether it has responded to no probe since
   */
  private record Suspicion(long untilNanos, Duration duration, boolean silent) {

    boolean isActive(long nowNanos) {
      return silent || untilNanos - nowNanos > 0;
    }

    Suspicion afterReply() {
      return new Suspicion(untilNanos, duration, false);
    }
  }

  /** Forgets the nodes that are not in a new list. */
  void retainAll(Collection<Member> members) {
    suspicions.keySet().retainAll(members);
  }

  /** Forgets a node that has placed a request. */
  void remove(Member member) {
    suspicions.remove(member);
  }

  /** Returns whether a node is passed over, alone or with its zone. */
  boolean contains(Member member, long nowNanos) {
    Suspicion suspicion = suspicions.get(member);
    return (suspicion != null && suspicion.isActive(nowNanos))
        || isZoneUnreachable(member.zone(), nowNanos);
  }

  /** Several suspected nodes of another zone mean that the whole zone is unreachable. */
  private boolean isZoneUnreachable(Zone zone, long nowNanos) {
    return !zone.equals(self.zone())
        && suspicions.entrySet().stream()
                .filter(entry -> entry.getKey().zone().equals(zone))
                .filter(entry -> entry.getValue().isActive(nowNanos))
                .count()
            >= SUSPECTED_NODES_OF_LOST_ZONE;
  }

  /** Passes over a node that declined a request or did not respond. */
  void add(Member member) {
    Suspicion previous = suspicions.get(member);
    if (previous != null && previous.isActive(timing.nanoTime())) {
      // Concurrent requests that time out count as one failure.
      return;
    }
    Duration duration = previous == null ? MIN_SUSPICION : previous.duration().multipliedBy(2);
    if (duration.compareTo(MAX_SUSPICION) > 0) {
      duration = MAX_SUSPICION;
    }
    suspicions.put(member, new Suspicion(timing.nanoTime() + duration.toNanos(), duration, true));
    timing.schedule(PROBE_PERIOD, () -> probe(member));
    log.write(
        "dispatcher.silent",
        ImmutableMap.of(
            "node", member.incarnation().toString(), "not_asked_for_ms", duration.toMillis()));
  }

  /** Detects by probes, never by a request, that a silent node responds again. */
  private void probe(Member member) {
    Suspicion suspicion = suspicions.get(member);
    if (suspicion == null || !suspicion.silent()) {
      return;
    }
    client.probe(
        member.address(),
        PROBE_TIMEOUT,
        alive -> timing.scheduler().execute(() -> onProbeResult(member, alive)));
    timing.schedule(PROBE_PERIOD, () -> probe(member));
  }

  private void onProbeResult(Member member, boolean alive) {
    if (alive && suspicions.containsKey(member)) {
      suspicions.computeIfPresent(member, (peer, suspicion) -> suspicion.afterReply());
      log.write("dispatcher.answers", ImmutableMap.of("node", member.incarnation().toString()));
    }
  }
}
