package dev.apricotmill.coordination.directory;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberRing;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Detects nodes that are no longer running, so that their entries can be deleted.
 *
 * <p>In a deployment whose VMs are replaced, entries of old nodes would accumulate. Each node
 * probes only its successor on the ring, so that the cost for each node does not grow with the
 * number of nodes. A node that does not answer for some time loses its entry. If it was only
 * partitioned, it writes its entry again.
 */
public final class NeighbourWatch {

  /** Probes whether a node is running. */
  public interface Prober {
    /** Calls {@code callback}, on any thread, with whether the node answered in time. */
    void probe(Member member, Duration timeout, Consumer<Boolean> callback);
  }

  /** Adds little load compared with the reports that nodes exchange. */
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(2);

  /** Much longer than a round trip between zones, but shorter than the period. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

  /**
   * With {@link #PROBE_PERIOD}, longer than a start, a pause or a partition of a zone usually
   * lasts.
   */
  private static final int MAX_UNANSWERED_PROBES = 8;

  private final Timing timing;
  private final Member self;
  private final Prober prober;
  private final Consumer<Member> onUnresponsive;
  private ImmutableList<Member> members = ImmutableList.of();
  private @Nullable Member neighbour;
  private int unansweredProbes;

  /**
   * Creates a watch without nodes to probe.
   *
   * @param onUnresponsive receives each node that did not answer 8 probes in a row
   */
  public NeighbourWatch(
      Timing timing, Member self, Prober prober, Consumer<Member> onUnresponsive) {
    this.timing = timing;
    this.self = self;
    this.prober = prober;
    this.onUnresponsive = onUnresponsive;
  }

  /** Starts to probe. */
  public void start() {
    timing.scheduleRepeatedly(PROBE_PERIOD, this::probe);
  }

  /** Sets the nodes that have an entry. */
  public void updateMembers(ImmutableList<Member> newMembers) {
    members = newMembers;
  }

  private void probe() {
    @Nullable Member successor =
        MemberRing.successors(members.stream(), self).stream().findFirst().orElse(null);
    if (successor == null || !successor.equals(neighbour)) {
      neighbour = successor;
      unansweredProbes = 0;
    }
    if (successor != null) {
      prober.probe(
          successor,
          PROBE_TIMEOUT,
          answered -> timing.scheduler().execute(() -> onProbeResult(successor, answered)));
    }
  }

  private void onProbeResult(Member member, boolean answered) {
    if (!member.equals(neighbour)) {
      return;
    }
    unansweredProbes = answered ? 0 : unansweredProbes + 1;
    if (unansweredProbes >= MAX_UNANSWERED_PROBES) {
      unansweredProbes = 0;
      onUnresponsive.accept(member);
    }
  }
}
