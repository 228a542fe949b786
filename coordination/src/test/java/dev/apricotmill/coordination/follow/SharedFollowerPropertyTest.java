package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class SharedFollowerPropertyTest {

  /** The maximum delay after a failed read, the maximum staleness, and 2 s of a peer's back-off. */
  private static final Duration RECOVERY = Duration.ofSeconds(4 + 2 + 2);

  /**
   * One step and the time after it.
   *
   * @param step what happens
   * @param process the index of the affected process, if the step affects one
   * @param millis the time until the next step
   */
  record Event(FollowStep step, int process, int millis) {}

  @Property(tries = 2000, seed = "77")
  void noFaultRevertsContentOrMakesItsValidationTooRecent(@ForAll("events") List<Event> events) {
    FollowerFleet fleet = new FollowerFleet();
    fleet.start(2, 3);
    ImmutableList<String> names =
        fleet.running().stream()
            .map(FollowerFleet.Follower::name)
            .collect(ImmutableList.toImmutableList());
    fleet.advance(Duration.ofSeconds(2));

    for (Event event : events) {
      event.step().apply(fleet, names.get(event.process()));
      for (int passed = 0; passed < event.millis(); passed += 50) {
        fleet.advance(Duration.ofMillis(50));
        fleet.running().forEach(process -> assertThat(process.violations()).isEmpty());
      }
    }

    fleet.healNetwork();
    fleet.store().heal();
    fleet.resumeAll();
    fleet.advance(RECOVERY);
    for (FollowerFleet.Follower process : fleet.running()) {
      assertThat(process.violations()).isEmpty();
      assertWithMessage(process.name()).that(process.content()).isEqualTo(fleet.expectedContent());
      assertThat(process.staleness()).isAtMost(FollowerFleet.MAX_STALENESS);
    }
  }

  @Provide
  Arbitrary<List<Event>> events() {
    return Combinators.combine(
            Arbitraries.of(FollowStep.class),
            Arbitraries.integers().between(0, 5),
            Arbitraries.of(1, 50, 300, 900, 2500))
        .as(Event::new)
        .list()
        .ofMinSize(4)
        .ofMaxSize(25);
  }
}
