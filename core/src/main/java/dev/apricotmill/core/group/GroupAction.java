package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;

/** The next action of a group's coordinator. */
public sealed interface GroupAction {

  /**
   * Ask the replica's steward to hold memory for its part of the prompt.
   *
   * @param replica the replica
   */
  record Reserve(ReplicaId replica) implements GroupAction {}

  /**
   * Start all parts, because every member holds its memory.
   *
   * @param replicas the members
   */
  record Commit(ImmutableList<ReplicaId> replicas) implements GroupAction {}

  /**
   * Release what is held or requested, and refuse the request; it has not run.
   *
   * @param replicas the members that hold memory or may still reserve it
   * @param reason the reason of the refusal
   * @param retryAfter the delay after which the caller may retry
   */
  record Abort(ImmutableList<ReplicaId> replicas, RefusalReason reason, Duration retryAfter)
      implements GroupAction {}

  /** Do nothing: the group waits for an event, or it has ended. */
  record Wait() implements GroupAction {}
}
