package dev.apricotmill.core.sheet;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.core.sheet.Sheets.customer;
import static dev.apricotmill.core.sheet.Sheets.sheet;
import static dev.apricotmill.core.sheet.Sheets.stop;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Configurations;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SheetApplierTest {
  private static final CustomerId FIRST = new CustomerId("customer-00000");
  private static final Configuration SMALL = Configurations.small();

  @Test
  void aLineSetsItsValuesAndKeepsTheRest() {
    Configuration result = accepted(sheet("customer,customer-00000,7,HIGH,2.5,,,,"), SMALL);

    Customer before = SMALL.customers().get(FIRST);
    assertThat(result.customers().get(FIRST))
        .isEqualTo(
            new Customer(
                FIRST,
                before.keyHash(),
                7,
                Priority.HIGH,
                new CustomerLimits(
                    2.5, before.limits().promptTokensPerSecond(), before.limits().openRequests())));
  }

  @Test
  void aSheetChangesNeitherServicesNorRulesNorTheObjective() {
    Configuration result = accepted(sheet(customer("customer-00000", "7")), SMALL);

    assertThat(result.services()).isEqualTo(SMALL.services());
    assertThat(result.rules()).isEqualTo(SMALL.rules());
    assertThat(result.objective()).isEqualTo(SMALL.objective());
    assertThat(result.generation()).isEqualTo(SMALL.generation());
  }

  @Test
  void theStopsOfASecondSheetReplaceThoseOfTheFirst() {
    Configuration first = accepted(sheet(stop("entry-0", "08:00", "09:00")), SMALL);

    Configuration second = accepted(sheet(stop("entry-1", "10:00", "11:00")), first);

    assertThat(second.plannedStops().stream().map(PlannedStop::machine)).containsExactly("entry-1");
  }

  @Test
  void stopsOfOtherDaysAreKeptUntilTheyEnd() {
    PlannedStop overnight = stopOf("entry-0", "2026-11-19T22:00:00Z", "2026-11-20T04:00:00Z");
    PlannedStop ended = stopOf("entry-1", "2026-11-18T22:00:00Z", "2026-11-19T04:00:00Z");
    PlannedStop later = stopOf("entry-2", "2026-11-21T22:00:00Z", "2026-11-22T04:00:00Z");
    Configuration current = withStops(overnight, ended, later);

    Configuration result = accepted(sheet(customer("customer-00000", "7")), current);

    assertThat(result.plannedStops()).containsExactly(overnight, later);
  }

  @Test
  void aStopThatOverlapsOneFromYesterdayIsRefused() {
    Configuration current =
        withStops(stopOf("entry-0", "2026-11-19T22:00:00Z", "2026-11-20T09:00:00Z"));

    SheetResult result =
        SheetApplier.apply(
            sheet(stop("entry-0", "08:00", "10:00")).getBytes(UTF_8), Sheets.context(current));

    assertThat(kinds(result)).containsExactly(SheetFault.Kind.OVERLAPPING_STOPS);
  }

  @Test
  void aLeavingMachineCountsAsStopped() {
    SheetContext context = Sheets.context();
    ImmutableList<Machine> machines =
        context.machines().stream()
            .map(
                machine ->
                    machine.name().equals("entry-0")
                        ? new Machine(
                            machine.name(),
                            machine.role(),
                            machine.zone(),
                            machine.address(),
                            Machine.State.LEAVING)
                        : machine)
            .collect(ImmutableList.toImmutableList());

    SheetResult result =
        SheetApplier.apply(
            sheet(stop("entry-3", "08:00", "10:00")).getBytes(UTF_8),
            new SheetContext(
                context.configuration(), machines, context.today(), context.timeZone()));

    assertThat(kinds(result)).containsExactly(SheetFault.Kind.STOP_TAKES_LAST_DAEMON);
  }

  @Test
  void byteOrderMarkLineEndingsQuotesAndColumnOrderDoNotMatter() {
    String plain = sheet("customer,customer-00000,7,HIGH,,,,,");
    String quoted = plain.replace("customer-00000", "\"customer-00000\"");
    List<String> variants =
        List.of("\uFEFF" + plain, plain.replace("\n", "\r\n"), quoted, plain + "\n\n");

    Configuration expected = accepted(plain, SMALL);

    variants.forEach(variant -> assertThat(accepted(variant, SMALL)).isEqualTo(expected));
    assertThat(accepted(swappedColumns(plain), SMALL)).isEqualTo(expected);
  }

  @Test
  void aSheetWithThirtyFiveThousandCustomersIsAccepted() {
    Configuration large = Configurations.withCustomers(35_000);
    List<String> lines =
        IntStream.range(0, 35_000)
            .mapToObj(number -> customer(String.format("customer-%05d", number), "3"))
            .toList();

    Configuration result = accepted(sheet(lines), large);

    assertThat(result.customers().values().stream().filter(each -> each.weight() == 3).count())
        .isEqualTo(35_000);
  }

  private static Configuration accepted(String text, Configuration current) {
    SheetResult result = SheetApplier.apply(text.getBytes(UTF_8), Sheets.context(current));
    assertThat(result).isInstanceOf(SheetResult.Accepted.class);
    return ((SheetResult.Accepted) result).configuration();
  }

  private static List<SheetFault.Kind> kinds(SheetResult result) {
    return ((SheetResult.Refused) result).faults().stream().map(SheetFault::kind).toList();
  }

  private static PlannedStop stopOf(String machine, String from, String until) {
    return new PlannedStop(machine, Instant.parse(from), Instant.parse(until));
  }

  private static Configuration withStops(PlannedStop... stops) {
    return new Configuration(
        SMALL.generation(),
        SMALL.objective(),
        SMALL.customers(),
        SMALL.services(),
        SMALL.rules(),
        ImmutableList.copyOf(stops));
  }

  private static String swappedColumns(String text) {
    StringBuilder swapped = new StringBuilder();
    for (String line : text.split("\n", -1)) {
      String[] cells = line.split(",", 3);
      swapped.append(cells.length == 3 ? cells[1] + "," + cells[0] + "," + cells[2] + "\n" : line);
    }
    return swapped.toString();
  }
}
