package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Collection;

/**
 * Reserves the members of a group: all or none, one after another in the order of their names.
 *
 * <p>Because every coordinator keeps that order, two groups cannot each hold what the other waits
 * for. Not safe for use by several threads.
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
   * @param deadlineNanos the monotonic time after which it is given up
   */
  public GroupReservation(Collection<ReplicaId> members, long deadlineNanos) {
    this.members = ImmutableList.sortedCopyOf(members);
    this.deadlineNanos = deadlineNanos;
    if (this.members.isEmpty()) {
      throw new IllegalArgumentException("a group has members");
    }
  }

  /** Starts with the first member. */
  public GroupAction start() {
    if (state != State.NEW) {
      return new GroupAction.Wait();
    }
    state = State.RESERVING;
    return new GroupAction.Reserve(members.get(0));
  }

  /** Notes that a member holds its memory. */
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

  /** Notes that a member's steward refused, or that the way to it is lost. */
  public GroupAction onRefused(ReplicaId replica, RefusalReason reason, Duration retryAfter) {
    if (state != State.RESERVING || !members.get(heldCount).equals(replica)) {
      return new GroupAction.Wait();
    }
    return abort(reason, retryAfter);
  }

  /** Gives up a reservation whose time is over. */
  public GroupAction onTimer(long nowNanos) {
    if (state != State.RESERVING || nowNanos - deadlineNanos < 0) {
      return new GroupAction.Wait();
    }
    return abort(RefusalReason.EXPIRED, Duration.ZERO);
  }

  /** Returns whether all members hold their memory and were told to start. */
  public boolean isCommitted() {
    return state == State.COMMITTED;
  }

  /** The members asked so far are told to give back, the one that is asked now included. */
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
