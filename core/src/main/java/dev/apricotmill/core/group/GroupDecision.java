package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.routing.ReplicaView;
import java.time.Duration;

/** Which replicas read a prompt together. */
public sealed interface GroupDecision {

  /**
   * These do, each its part.
   *
   * @param members the members in the order of their replicas' names
   */
  record Members(ImmutableList<Member> members) implements GroupDecision {}

  /**
   * None; the request is refused and has not run.
   *
   * @param reason why
   * @param retryAfter when to come back
   */
  record Refuse(RefusalReason reason, Duration retryAfter) implements GroupDecision {}

  /**
   * One member of a group.
   *
   * @param replica the replica
   * @param promptTokens the length of its part
   */
  record Member(ReplicaView replica, long promptTokens) {}
}
