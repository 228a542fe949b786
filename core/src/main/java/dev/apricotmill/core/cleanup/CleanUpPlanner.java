package dev.apricotmill.core.cleanup;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.SequenceId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which sequences and exports on an engine are orphaned and can be freed.
 *
 * <p>A sequence is freed when its deadline has passed, when the owning daemon incarnation is known
 * to have ended, or when this daemon owns it but does not run it. A sequence whose owner is not in
 * the member list is freed only after it has been seen for {@link #UNKNOWN_OWNER_GRACE_PERIOD}: a
 * newly started daemon does not know its peers yet. Not thread-safe.
 */
public final class CleanUpPlanner {

  /** How long a sequence of an unknown daemon is kept. */
  public static final Duration UNKNOWN_OWNER_GRACE_PERIOD = Duration.ofSeconds(10);

  /** How long an export may wait for its import. */
  public static final Duration EXPORT_LIFETIME = Duration.ofSeconds(30);

  private final Map<DaemonId, Long> unknownSinceNanos = new HashMap<>();

  /**
   * Returns the sequences and exports to free.
   *
   * @param held what holds memory on the engine
   * @param view this daemon's view of the cluster
   * @param running the sequences that this daemon runs on this engine
   * @param nowNanos the current monotonic time
   */
  public CleanUpPlan plan(
      HeldMemory held, CleanUpView view, ImmutableSet<SequenceId> running, long nowNanos) {
    removeKnownDaemons(view);
    ImmutableList.Builder<SequenceId> sequences = ImmutableList.builder();
    for (HeldMemory.Sequence sequence : held.sequences()) {
      if (isOrphan(sequence, view, running, nowNanos)) {
        sequences.add(sequence.id());
      }
    }
    ImmutableList.Builder<ExportId> exports = ImmutableList.builder();
    for (HeldMemory.Export export : held.exports()) {
      if (export.age().compareTo(EXPORT_LIFETIME) >= 0) {
        exports.add(export.id());
      }
    }
    return new CleanUpPlan(sequences.build(), exports.build());
  }

  private boolean isOrphan(
      HeldMemory.Sequence sequence, CleanUpView view, Set<SequenceId> running, long nowNanos) {
    if (running.contains(sequence.id())) {
      return false;
    }
    Incarnation owner = sequence.id().owner();
    if (sequence.remaining().isZero() || owner.daemon().equals(view.self().daemon())) {
      return true;
    }
    Optional<Member> member = view.members().find(owner.daemon());
    if (member.isEmpty()) {
      return isPastGracePeriod(owner.daemon(), nowNanos);
    }
    return !view.members().mayBeRunning(owner);
  }

  private boolean isPastGracePeriod(DaemonId daemon, long nowNanos) {
    long since = unknownSinceNanos.computeIfAbsent(daemon, unknown -> nowNanos);
    return nowNanos - since >= UNKNOWN_OWNER_GRACE_PERIOD.toNanos();
  }

  private void removeKnownDaemons(CleanUpView view) {
    unknownSinceNanos.keySet().removeIf(daemon -> view.members().find(daemon).isPresent());
  }
}
