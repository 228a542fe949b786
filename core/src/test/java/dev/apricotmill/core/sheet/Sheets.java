package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Configurations;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Sheets for tests, and the contexts they are checked against. */
final class Sheets {
  static final String HEADER =
      "day,kind,name,weight,priority,requests_per_second,prompt_tokens_per_second,"
          + "open_requests,from,until";
  static final String DAY = "2026-11-20";

  private Sheets() {}

  /** Returns a complete sheet for today; each body is a line without its day. */
  static String sheet(String... bodies) {
    return sheet(List.of(bodies));
  }

  static String sheet(List<String> bodies) {
    return HEADER + "\n" + body(bodies) + DAY + ",end," + bodies.size() + ",,,,,,,\n";
  }

  /** Returns the lines of the bodies, without header and end line. */
  static String body(List<String> bodies) {
    return bodies.stream().map(body -> DAY + "," + body + "\n").collect(Collectors.joining());
  }

  /** Returns a customer line that sets only the weight. */
  static String customer(String name, String weight) {
    return "customer," + name + "," + weight + ",,,,,,";
  }

  /** Returns a stop line from one time of today to another. */
  static String stop(String machine, String from, String until) {
    return "stop,%s,,,,,,%sT%s+00:00,%sT%s+00:00".formatted(machine, DAY, from, DAY, until);
  }

  static SheetContext context() {
    return context(Configurations.small());
  }

  static SheetContext context(Configuration configuration) {
    return new SheetContext(
        configuration, entryMachines(), LocalDate.parse(DAY), ZoneId.of("Europe/Lisbon"));
  }

  /** Returns two entry VMs in each of three zones. */
  private static ImmutableList<Machine> entryMachines() {
    return IntStream.range(0, 6)
        .mapToObj(
            number ->
                new Machine(
                    "entry-" + number,
                    Machine.Role.ENTRY,
                    new Zone("zone-" + number % 3),
                    "127.0.0.1:" + (7_000 + number),
                    Machine.State.LIVE))
        .collect(ImmutableList.toImmutableList());
  }
}
