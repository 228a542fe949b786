package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import java.time.Duration;
import java.util.List;

/** Checks that planned stops are well-formed and always leave every service a replica. */
final class PlannedStopChecks {
  private final ConfigurationDraft draft;
  private final FaultCollector faults;

  private PlannedStopChecks(ConfigurationDraft draft, FaultCollector faults) {
    this.draft = draft;
    this.faults = faults;
  }

  static void check(ConfigurationDraft draft, FaultCollector faults) {
    PlannedStopChecks checks = new PlannedStopChecks(draft, faults);
    List<Located<PlannedStop>> stops = draft.plannedStops();
    for (int index = 0; index < stops.size(); index++) {
      checks.checkFields(stops.get(index).value(), stops.get(index).pointer());
      checks.checkOverlap(stops.get(index), stops.subList(0, index));
    }
    checks.checkServices();
  }

  private void checkFields(PlannedStop stop, String pointer) {
    EntryChecks.checkName(stop.machine(), pointer + "/machine", faults);
    if (!stop.from().isBefore(stop.until())) {
      faults.add(
          pointer + "/until", Kind.STOP_ENDS_BEFORE_IT_BEGINS, stop.from() + " to " + stop.until());
    } else if (Duration.between(stop.from(), stop.until())
            .compareTo(ConfigurationLimits.MAXIMUM_STOP_DURATION)
        > 0) {
      faults.add(
          pointer + "/until",
          Kind.OUT_OF_RANGE,
          "longer than " + ConfigurationLimits.MAXIMUM_STOP_DURATION.toDays() + " days");
    }
  }

  private void checkOverlap(Located<PlannedStop> later, List<Located<PlannedStop>> earlierStops) {
    earlierStops.stream()
        .filter(earlier -> overlap(earlier.value(), later.value()))
        .findFirst()
        .ifPresent(
            earlier ->
                faults.add(
                    later.pointer(),
                    Kind.OVERLAPPING_STOPS,
                    later.value().machine() + ", see " + earlier.pointer()));
  }

  private static boolean overlap(PlannedStop left, PlannedStop right) {
    return left.machine().equals(right.machine())
        && left.from().isBefore(right.until())
        && right.from().isBefore(left.until());
  }

  /** Checks that every service keeps a replica at any time. */
  private void checkServices() {
    StopSchedule stops =
        new StopSchedule(
            draft.plannedStops().stream()
                .map(Located::value)
                .collect(ImmutableList.toImmutableList()),
            ImmutableSet.of());
    for (Located<Service> service : draft.services()) {
      ImmutableSet<String> machines =
          service.value().replicas().stream()
              .map(Replica::machine)
              .collect(ImmutableSet.toImmutableSet());
      stops
          .firstThatStopsAll(machines)
          .ifPresent(
              stop ->
                  faults.add(
                      pointerOf(stop),
                      Kind.STOP_TAKES_LAST_REPLICA,
                      service.value().name() + " at " + stop.from()));
    }
  }

  private String pointerOf(PlannedStop stop) {
    return draft.plannedStops().stream()
        .filter(located -> located.value().equals(stop))
        .map(Located::pointer)
        .findFirst()
        .orElse("/plannedStops");
  }
}
