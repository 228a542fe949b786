package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;

/** What the coordinator of a group does next. */
public sealed interface GroupAction {

  /**
   * Ask a replica's steward to hold memory for its part.
   *
   * @param replica the replica
   */
  record Reserve(ReplicaId replica) implements GroupAction {}

  /**
   * Start all parts; every member holds its memory.
   *
   * @param replicas the members
   */
  record Commit(ImmutableList<ReplicaId> replicas) implements GroupAction {}

  /**
   * Give back what was held or asked for, and refuse the request; it has not run.
   *
   * @param replicas the members that hold memory or may come to hold it
   * @param reason why
   * @param retryAfter when to come back
   */
  record Abort(ImmutableList<ReplicaId> replicas, RefusalReason reason, Duration retryAfter)
      implements GroupAction {}

  /** Nothing: the group waits, or it has ended. */
  record Wait() implements GroupAction {}
}
