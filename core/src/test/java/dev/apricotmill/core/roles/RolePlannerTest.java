package dev.apricotmill.core.roles;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class RolePlannerTest {

  private static final Duration SETTLE = Duration.ofSeconds(30);

  private final RolePlanner planner = new RolePlanner(SETTLE);

  @Test
  void aLastingShiftChangesOneEngineAtATime() {
    assertThat(planner.plan(roles(10, 0), 0.4, 0)).isEmpty();
    assertThat(planner.plan(roles(10, 0), 0.4, SETTLE.toNanos()))
        .hasValue(new RolePlanner.RoleChange(new ReplicaId("r0"), EngineRole.LONG_PROMPTS));
    assertThat(planner.plan(roles(10, 1), 0.4, SETTLE.toNanos() + 1)).isEmpty();
  }

  @Test
  void aMixThatSwingsAroundTheBoundaryChangesNothing() {
    int changes = 0;
    for (int second = 0; second < 1_000; second++) {
      double part = second % 20 < 10 ? 0.25 : 0.45;
      long now = Duration.ofSeconds(second).toNanos();
      if (planner.plan(roles(10, 3), part, now).isPresent()) {
        changes++;
      }
    }
    assertThat(changes).isEqualTo(0);
  }

  @Test
  void aRepeatedPlanComesToRest() {
    int preferring = 0;
    int changes = 0;
    for (int minute = 0; minute < 100; minute++) {
      Optional<RolePlanner.RoleChange> change =
          planner.plan(roles(10, preferring), 0.6, Duration.ofMinutes(minute).toNanos());
      if (change.isPresent()) {
        preferring += change.get().role() == EngineRole.LONG_PROMPTS ? 1 : -1;
        changes++;
      }
    }
    assertThat(preferring).isEqualTo(5);
    assertThat(changes).isEqualTo(5);
  }

  @Test
  void oneEngineAlwaysStaysForShortPrompts() {
    assertThat(planner.plan(roles(3, 1), 1.0, 0)).isEmpty();
    assertThat(planner.plan(roles(3, 2), 1.0, SETTLE.toNanos() * 2)).isEmpty();
  }

  private static ImmutableSortedMap<ReplicaId, EngineRole> roles(int count, int preferring) {
    TreeMap<ReplicaId, EngineRole> roles = new TreeMap<>();
    for (int number = 0; number < count; number++) {
      roles.put(
          new ReplicaId("r" + number),
          number < preferring ? EngineRole.LONG_PROMPTS : EngineRole.MIXED);
    }
    return ImmutableSortedMap.copyOf(roles);
  }
}
