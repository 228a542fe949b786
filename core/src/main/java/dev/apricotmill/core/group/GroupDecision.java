package dev.apricotmill.core.group;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.routing.ReplicaView;
import java.time.Duration;

/** The result of planning a group of replicas that prefill one prompt together. */
public sealed interface GroupDecision {

  /**
   * The group can be reserved.
   *
   * @param members the members, sorted by replica identifier
   */
  record Members(ImmutableList<Member> members) implements GroupDecision {}

  /**
   * The request is refused and has not run.
   *
   * @param reason the reason of the refusal
   * @param retryAfter the delay after which the caller may retry
   */
  record Refuse(RefusalReason reason, Duration retryAfter) implements GroupDecision {}

  /**
   * One member of a group.
   *
   * @param replica the replica
   * @param promptTokens the length of its part of the prompt
   */
  record Member(ReplicaView replica, long promptTokens) {}
}
