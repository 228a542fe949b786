package dev.apricotmill.core.roles;

import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses which engines prefer long prompts as the mix of lengths moves, one change at a time.
 *
 * <p>A change needs a mix that is off by more than a whole engine for longer than it takes to
 * change a role, so that no engine flaps. Not safe for use by several threads.
 */
public final class RolePlanner {

  private final long settleNanos;
  private Optional<Deviation> deviation = Optional.empty();

  /**
   * Creates a planner.
   *
   * @param timeToChange how long an engine takes to change its role
   */
  public RolePlanner(Duration timeToChange) {
    this.settleNanos = timeToChange.toNanos();
  }

  /**
   * Returns the next change, if one is due.
   *
   * @param roles the role of each engine now
   * @param longWorkPart the part of all prompt tokens that is in long prompts
   * @param nowNanos the monotonic time
   */
  public Optional<RoleChange> plan(
      ImmutableSortedMap<ReplicaId, EngineRole> roles, double longWorkPart, long nowNanos) {
    long active = roles.values().stream().filter(role -> role != EngineRole.IDLE).count();
    long preferring = count(roles, EngineRole.LONG_PROMPTS);
    double wanted = Math.min(active - 1.0, longWorkPart * active);
    if (active < 2 || Math.abs(wanted - preferring) <= 1) {
      deviation = Optional.empty();
      return Optional.empty();
    }
    EngineRole target = wanted > preferring ? EngineRole.LONG_PROMPTS : EngineRole.MIXED;
    if (deviation.isEmpty() || deviation.get().target != target) {
      deviation = Optional.of(new Deviation(target, nowNanos));
    }
    if (nowNanos - deviation.get().sinceNanos < settleNanos) {
      return Optional.empty();
    }
    deviation = Optional.of(new Deviation(target, nowNanos));
    return change(roles, target);
  }

  private static Optional<RoleChange> change(
      ImmutableSortedMap<ReplicaId, EngineRole> roles, EngineRole target) {
    EngineRole from =
        target == EngineRole.LONG_PROMPTS ? EngineRole.MIXED : EngineRole.LONG_PROMPTS;
    for (Map.Entry<ReplicaId, EngineRole> entry : roles.entrySet()) {
      if (entry.getValue() == from) {
        return Optional.of(new RoleChange(entry.getKey(), target));
      }
    }
    return Optional.empty();
  }

  private static long count(ImmutableSortedMap<ReplicaId, EngineRole> roles, EngineRole role) {
    return roles.values().stream().filter(current -> current == role).count();
  }

  /**
   * One engine's new role.
   *
   * @param replica the engine's replica
   * @param role the role
   */
  public record RoleChange(ReplicaId replica, EngineRole role) {}

  private record Deviation(EngineRole target, long sinceNanos) {}
}
