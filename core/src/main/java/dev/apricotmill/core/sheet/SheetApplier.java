package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationFault;
import dev.apricotmill.core.configuration.ConfigurationValidator;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.time.Instant;
import java.time.LocalDate;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Applies a sheet to the current configuration, or reports all faults of the sheet.
 *
 * <p>A sheet sets weights, priorities and limits of customers, and the planned stops that begin on
 * its day. It cannot change rules, services, keys or the objective.
 */
public final class SheetApplier {
  /** Maximum size of a sheet. */
  public static final int MAXIMUM_BYTES = 16 << 20;

  private SheetApplier() {}

  /** Returns the faults that can be found without the current configuration. */
  public static ImmutableList<SheetFault> checkFormat(byte[] sheet) {
    SheetFaults faults = new SheetFaults();
    new SheetReader(faults).read(sheet);
    return faults.all();
  }

  /** Returns the current configuration with the sheet applied, or all faults. */
  public static SheetResult apply(byte[] sheet, SheetContext context) {
    SheetFaults faults = new SheetFaults();
    SheetContent content = new SheetReader(faults).read(sheet);
    content.day().ifPresent(day -> checkDay(day, context, faults));
    Configuration result = withContent(content, context);
    SheetChecks.check(content, result, context, faults);
    if (faults.isEmpty()) {
      checkResult(result, faults);
    }
    return faults.isEmpty()
        ? new SheetResult.Accepted(
            content.day().orElse(context.today()),
            result,
            content.customers().size(),
            content.stops().size())
        : new SheetResult.Refused(faults.all());
  }

  private static void checkDay(LocalDate day, SheetContext context, SheetFaults faults) {
    if (day.equals(context.today())) {
      return;
    }
    boolean sameDayOfAnotherYear = day.withYear(context.today().getYear()).equals(context.today());
    faults.add(
        sameDayOfAnotherYear ? Kind.WRONG_YEAR : Kind.WRONG_DAY,
        2,
        SheetColumn.DAY.header(),
        day + ", today is " + context.today());
  }

  private static Configuration withContent(SheetContent content, SheetContext context) {
    Configuration current = context.configuration();
    return new Configuration(
        current.generation(),
        current.objective(),
        customers(content, current),
        current.services(),
        current.rules(),
        stops(content, context));
  }

  private static ImmutableMap<CustomerId, Customer> customers(
      SheetContent content, Configuration current) {
    Map<CustomerId, CustomerLine> lines = new HashMap<>();
    content.customers().forEach(line -> lines.put(line.customer(), line));
    return current.customers().values().stream()
        .map(
            customer ->
                lines.containsKey(customer.id())
                    ? lines.get(customer.id()).applyTo(customer)
                    : customer)
        .collect(ImmutableMap.toImmutableMap(Customer::id, customer -> customer));
  }

  /**
   * Replaces the stops that begin on the sheet's day by those of the sheet. Stops of other days are
   * kept until they end.
   */
  private static ImmutableList<PlannedStop> stops(SheetContent content, SheetContext context) {
    Instant dayBegins = context.today().atStartOfDay(context.timeZone()).toInstant();
    Instant dayEnds = context.today().plusDays(1).atStartOfDay(context.timeZone()).toInstant();
    Stream<PlannedStop> kept =
        context.configuration().plannedStops().stream()
            .filter(stop -> stop.from().isBefore(dayBegins) || !stop.from().isBefore(dayEnds))
            .filter(stop -> stop.until().isAfter(dayBegins));
    return Stream.concat(kept, content.stops().stream().map(StopLine::stop))
        .collect(ImmutableList.toImmutableList());
  }

  private static void checkResult(Configuration result, SheetFaults faults) {
    ConfigurationValidator.check(result).stream()
        .filter(ConfigurationFault::isError)
        .forEach(fault -> faults.add(Kind.REFUSED_RESULT, 1, "", fault.describe()));
  }
}
