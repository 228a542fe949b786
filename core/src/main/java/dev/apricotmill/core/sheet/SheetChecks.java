package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.configuration.StopSchedule;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.time.LocalDate;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;

/** Checks a sheet against the current configuration and the platform's list of VMs. */
final class SheetChecks {
  private static final String NAME = SheetColumn.NAME.header();
  private static final String FROM = SheetColumn.FROM.header();

  private final SheetContent content;
  private final SheetContext context;
  private final SheetFaults faults;
  private final StopSchedule stops;

  private SheetChecks(
      SheetContent content, Configuration result, SheetContext context, SheetFaults faults) {
    this.content = content;
    this.context = context;
    this.faults = faults;
    this.stops = StopSchedule.of(result, context.machines());
  }

  static void check(
      SheetContent content, Configuration result, SheetContext context, SheetFaults faults) {
    SheetChecks checks = new SheetChecks(content, result, context, faults);
    checks.checkCustomers();
    checks.checkMachines();
    checks.checkDays();
    checks.checkOverlaps();
    checks.checkServices();
    checks.checkZones();
  }

  private void checkCustomers() {
    for (CustomerLine line : content.customers()) {
      if (!context.configuration().customers().containsKey(line.customer())) {
        faults.add(Kind.UNKNOWN_CUSTOMER, line.line(), NAME, line.customer().value());
      }
    }
  }

  private void checkMachines() {
    ImmutableSet<String> known =
        Stream.concat(
                context.machines().stream().map(Machine::name),
                context.configuration().services().values().stream()
                    .flatMap(service -> service.replicas().stream())
                    .map(Replica::machine))
            .collect(ImmutableSet.toImmutableSet());
    for (StopLine line : content.stops()) {
      if (!known.contains(line.stop().machine())) {
        faults.add(Kind.UNKNOWN_MACHINE, line.line(), NAME, line.stop().machine());
      }
    }
  }

  private void checkDays() {
    LocalDate day = content.day().orElse(context.today());
    for (StopLine line : content.stops()) {
      LocalDate begins = line.stop().from().atZone(context.timeZone()).toLocalDate();
      if (!begins.equals(day)) {
        faults.add(Kind.STOP_ON_ANOTHER_DAY, line.line(), FROM, begins.toString());
      }
    }
  }

  /** Checks that no stop of the sheet overlaps another stop of the resulting configuration. */
  private void checkOverlaps() {
    for (StopLine line : content.stops()) {
      PlannedStop stop = line.stop();
      long overlapping = stops.stops().stream().filter(other -> overlap(stop, other)).count();
      if (overlapping > 1) {
        faults.add(Kind.OVERLAPPING_STOPS, line.line(), NAME, stop.machine());
      }
    }
  }

  private static boolean overlap(PlannedStop left, PlannedStop right) {
    return left.machine().equals(right.machine())
        && left.from().isBefore(right.until())
        && right.from().isBefore(left.until());
  }

  private void checkServices() {
    for (Service service : context.configuration().services().values()) {
      List<String> machines = service.replicas().stream().map(Replica::machine).toList();
      check(Kind.STOP_TAKES_LAST_REPLICA, service.name().value(), machines);
    }
  }

  private void checkZones() {
    ImmutableListMultimap<Zone, String> entries =
        context.machines().stream()
            .filter(machine -> machine.role() == Machine.Role.ENTRY)
            .collect(ImmutableListMultimap.toImmutableListMultimap(Machine::zone, Machine::name));
    entries
        .asMap()
        .forEach((zone, machines) -> check(Kind.STOP_TAKES_LAST_DAEMON, zone.name(), machines));
  }

  private void check(Kind kind, String subject, Collection<String> machines) {
    stops
        .firstThatStopsAll(machines)
        .ifPresent(stop -> faults.add(kind, lineOf(stop), NAME, subject + " at " + stop.from()));
  }

  private int lineOf(PlannedStop stop) {
    return content.stops().stream()
        .filter(line -> line.stop().equals(stop))
        .mapToInt(StopLine::line)
        .findFirst()
        .orElse(1);
  }
}
