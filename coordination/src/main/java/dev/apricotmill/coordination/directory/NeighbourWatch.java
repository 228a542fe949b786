package dev.apricotmill.coordination.directory;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberRing;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Finds the entries of nodes that are gone for good.
 *
 * <p>Answers the load pattern of a fleet whose VMs are replaced: each node asks only the next one
 * on the ring, so that the cost for each node does not grow with their number. A node that is
 * silent for some time loses its entry; one that only was cut off writes it again.
 */
public final class NeighbourWatch {

  /** Asks a node whether it lives. */
  public interface Prober {
    /** Tells {@code then}, on any thread, whether the node answered within {@code timeout}. */
    void probe(Member member, Duration timeout, Consumer<Boolean> callback);
  }

  /** Small beside the rate at which nodes exchange reports. */
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(2);

  /** Long beside a round trip between zones, and shorter than the period. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(800);

  /** Longer than a start, a freeze or the cut of a zone usually lasts. */
  private static final int MAX_UNANSWERED_PROBES = 8;

  private final Timing timing;
  private final Member self;
  private final Prober prober;
  private final Consumer<Member> onUnresponsive;
  private ImmutableList<Member> members = ImmutableList.of();
  private @Nullable Member neighbour;
  private int unansweredProbes;

  /**
   * Creates a watch that knows no other node.
   *
   * @param onUnresponsive learns of a node that has been silent for long
   */
  public NeighbourWatch(
      Timing timing, Member self, Prober prober, Consumer<Member> onUnresponsive) {
    this.timing = timing;
    this.self = self;
    this.prober = prober;
    this.onUnresponsive = onUnresponsive;
  }

  /** Begins to probe. */
  public void start() {
    timing.scheduleRepeatedly(PROBE_PERIOD, this::probe);
  }

  /** Takes over the nodes that have an entry. */
  public void updateMembers(ImmutableList<Member> newMembers) {
    members = newMembers;
  }

  private void probe() {
    @Nullable Member successor =
        MemberRing.after(members.stream(), self).stream().findFirst().orElse(null);
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
