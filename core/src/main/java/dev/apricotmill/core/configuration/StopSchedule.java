package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.platform.Machine;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides which machines get no new work: those with an active planned stop, and those that the
 * platform lists as leaving.
 *
 * @param stops the planned stops of the configuration
 * @param leavingMachines the machines that are leaving, which get no new work at any time
 */
public record StopSchedule(ImmutableList<PlannedStop> stops, ImmutableSet<String> leavingMachines) {

  /** Returns the schedule for a configuration and the platform's list of VMs. */
  public static StopSchedule of(Configuration configuration, Collection<Machine> machines) {
    return new StopSchedule(
        configuration.plannedStops(),
        machines.stream()
            .filter(machine -> machine.state() == Machine.State.LEAVING)
            .map(Machine::name)
            .collect(ImmutableSet.toImmutableSet()));
  }

  /** Returns whether a machine may get new work at the given time. */
  public boolean acceptsNewWork(String machine, Instant time) {
    return !leavingMachines.contains(machine)
        && stops.stream()
            .noneMatch(stop -> stop.machine().equals(machine) && stop.isActiveAt(time));
  }

  /** Returns all machines that get no new work at the given time. */
  public ImmutableSet<String> stoppedAt(Instant time) {
    return Stream.concat(
            leavingMachines.stream(),
            stops.stream().filter(stop -> stop.isActiveAt(time)).map(PlannedStop::machine))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns when a planned stop next starts or ends after the given time. */
  public Optional<Instant> nextChangeAfter(Instant time) {
    return stops.stream()
        .flatMap(stop -> Stream.of(stop.from(), stop.until()))
        .filter(instant -> instant.isAfter(time))
        .min(Instant::compareTo);
  }

  /**
   * Returns the first planned stop at whose start all the given machines are stopped. Only the
   * starts are checked, because the last machine can only be stopped by the start of a stop.
   */
  public Optional<PlannedStop> firstThatStopsAll(Collection<String> machines) {
    return stops.stream()
        .filter(stop -> machines.contains(stop.machine()))
        .filter(stop -> stoppedAt(stop.from()).containsAll(machines))
        .min((left, right) -> left.from().compareTo(right.from()));
  }
}
