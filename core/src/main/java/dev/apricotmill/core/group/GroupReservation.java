package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Collection;

/**
 * Reserves all members of a group or none, one after another in the order of their identifiers.
 *
 * <p>Because every coordinator keeps this order, two groups cannot deadlock by each holding what
 * the other waits for. Not thread-safe.
 */
public final class GroupReservation {

  private final ImmutableList<ReplicaId> members;
  private final long deadlineNanos;
  private State state = State.NEW;
  private int heldCount;

  /**
   * Creates a reservation.
   *
   * @param members the members, in any order
   * @param deadlineNanos the monotonic time after which the reservation is aborted
   */
  public GroupReservation(Collection<ReplicaId> members, long deadlineNanos) {
    this.members = ImmutableList.sortedCopyOf(members);
    this.deadlineNanos = deadlineNanos;
    if (this.members.isEmpty()) {
      throw new IllegalArgumentException("members must not be empty");
    }
  }

  /** Starts the reservation with the first member. */
  public GroupAction start() {
    if (state != State.NEW) {
      return new GroupAction.Wait();
    }
    state = State.RESERVING;
    return new GroupAction.Reserve(members.get(0));
  }

  /** Records that a member holds its memory. */
  public GroupAction onHeld(ReplicaId replica, long nowNanos) {
    if (state != State.RESERVING || !members.get(heldCount).equals(replica)) {
      return new GroupAction.Wait();
    }
    heldCount++;
    if (nowNanos - deadlineNanos >= 0) {
      return abort(RefusalReason.EXPIRED, Duration.ZERO);
    }
    if (heldCount < members.size()) {
      return new GroupAction.Reserve(members.get(heldCount));
    }
    state = State.COMMITTED;
    return new GroupAction.Commit(members);
  }

  /** Records that a member's steward refused or cannot be reached. */
  public GroupAction onRefused(ReplicaId replica, RefusalReason reason, Duration retryAfter) {
    if (state != State.RESERVING || !members.get(heldCount).equals(replica)) {
      return new GroupAction.Wait();
    }
    return abort(reason, retryAfter);
  }

  /** Aborts the reservation if its deadline has passed. */
  public GroupAction onTimer(long nowNanos) {
    if (state != State.RESERVING || nowNanos - deadlineNanos < 0) {
      return new GroupAction.Wait();
    }
    return abort(RefusalReason.EXPIRED, Duration.ZERO);
  }

  /** Returns whether all members hold their memory and the group was committed. */
  public boolean isCommitted() {
    return state == State.COMMITTED;
  }

  /** Aborts at all members asked so far, including the one whose reply is outstanding. */
  private GroupAction abort(RefusalReason reason, Duration retryAfter) {
    state = State.ABORTED;
    int asked = Math.min(members.size(), heldCount + 1);
    return new GroupAction.Abort(members.subList(0, asked), reason, retryAfter);
  }

  private enum State {
    NEW,
    RESERVING,
    COMMITTED,
    ABORTED
  }
}
