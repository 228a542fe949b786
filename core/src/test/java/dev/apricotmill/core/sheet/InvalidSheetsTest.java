package dev.apricotmill.core.sheet;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.core.sheet.Sheets.DAY;
import static dev.apricotmill.core.sheet.Sheets.HEADER;
import static dev.apricotmill.core.sheet.Sheets.customer;
import static dev.apricotmill.core.sheet.Sheets.sheet;
import static dev.apricotmill.core.sheet.Sheets.stop;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_16;
import static java.nio.charset.StandardCharsets.UTF_16LE;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.charset.Charset;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class InvalidSheetsTest {
  private static final String FIRST = "customer-00000";
  private static final String GOOD = customer(FIRST, "7");

  /** An invalid sheet and the faults that must be reported, as kind, line and column. */
  private record InvalidSheet(String name, Charset charset, String text, List<String> faults) {
    @Override
    public String toString() {
      return name;
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"texts", "tables", "lines", "values", "days", "stops"})
  void anInvalidSheetIsRefusedWithEveryFaultAndItsLocation(InvalidSheet sheet) {
    SheetResult result =
        SheetApplier.apply(sheet.text().getBytes(sheet.charset()), Sheets.context());

    assertThat(result).isInstanceOf(SheetResult.Refused.class);
    List<String> faults =
        ((SheetResult.Refused) result)
            .faults().stream()
                .map(fault -> (fault.kind() + " " + fault.line() + " " + fault.column()).trim())
                .toList();
    assertThat(faults).containsExactlyElementsIn(sheet.faults());
  }

  static Stream<InvalidSheet> texts() {
    String accented = sheet(GOOD, "customer,prio-é,,,,,,,");
    return Stream.of(
        invalid("empty", "", "EMPTY 1"),
        invalid("only blank lines", "\n \r\n\n", "EMPTY 1"),
        invalid("only a byte order mark", "\uFEFF", "EMPTY 1"),
        invalid("UTF-16 with a mark", UTF_16, sheet(GOOD), "WRONG_ENCODING 1"),
        invalid("UTF-16 without a mark", UTF_16LE, sheet(GOOD), "WRONG_ENCODING 1"),
        invalid("Latin-1", ISO_8859_1, accented, "WRONG_ENCODING 3"),
        invalid("a zero byte", sheet(GOOD, customer("a\0b", "1")), "WRONG_ENCODING 3"),
        invalid("too large", HEADER + "\n".repeat(SheetApplier.MAXIMUM_BYTES), "TOO_LARGE 1"),
        invalid(
            "JSON instead of CSV",
            "{\"day\": 1}",
            allColumnsMissing("UNKNOWN_COLUMN 1 {\"day\": 1}")));
  }

  static Stream<InvalidSheet> tables() {
    return Stream.of(
        invalid("semicolons", sheet(GOOD).replace(',', ';'), "WRONG_SEPARATOR 1"),
        invalid("tabs", sheet(GOOD).replace(',', '\t'), "WRONG_SEPARATOR 1"),
        invalid(
            "an unclosed quote", sheet("customer,\"" + FIRST + ",7,,,,,,"), "MALFORMED_QUOTES 2"),
        invalid("a missing column", sheet(GOOD).replace(",until", ""), "MISSING_COLUMN 1 until"),
        invalid(
            "an unknown column",
            sheet(GOOD).replace(",until", ",till"),
            "UNKNOWN_COLUMN 1 till",
            "MISSING_COLUMN 1 until"),
        invalid(
            "a duplicate column",
            sheet(GOOD).replace(",until", ",from"),
            "DUPLICATE_COLUMN 1 from",
            "MISSING_COLUMN 1 until"),
        invalid("no header", Sheets.body(List.of(GOOD)), faultsWithoutHeader()),
        invalid(
            "a short line",
            sheet("customer," + FIRST + ",7"),
            "WRONG_CELL_COUNT 2",
            "WRONG_LINE_COUNT 3 name"),
        invalid("a long line", sheet(GOOD + ",,"), "WRONG_CELL_COUNT 2", "WRONG_LINE_COUNT 3 name"),
        invalid("only a header", HEADER + "\n", "MISSING_END 1"),
        invalid(
            "cut off between lines", HEADER + "\n" + Sheets.body(List.of(GOOD)), "MISSING_END 2"),
        invalid(
            "cut off within a line",
            withoutLast(sheet(GOOD), 12),
            "WRONG_CELL_COUNT 3",
            "MISSING_END 2"),
        invalid(
            "lines lost in the middle", HEADER + "\n" + endLine("3"), "WRONG_LINE_COUNT 2 name"),
        invalid(
            "two sheets in one file",
            sheet(GOOD) + Sheets.body(List.of(customer("customer-00001", "1"))),
            "LINE_AFTER_END 4 kind"));
  }

  static Stream<InvalidSheet> lines() {
    return Stream.of(
        invalid(
            "an unknown kind",
            sheet("client," + FIRST + ",7,,,,,,"),
            "UNKNOWN_KIND 2 kind",
            "WRONG_LINE_COUNT 3 name"),
        invalid(
            "no kind",
            sheet("," + FIRST + ",7,,,,,,"),
            "MISSING_VALUE 2 kind",
            "WRONG_LINE_COUNT 3 name"),
        invalid(
            "a service",
            sheet("service,model,,HIGH,,,,,"),
            "SERVICE_LINE 2 kind",
            "WRONG_LINE_COUNT 3 name"),
        invalid("an unknown customer", sheet(customer("nobody", "7")), "UNKNOWN_CUSTOMER 2 name"),
        invalid("a duplicate customer", sheet(GOOD, GOOD), "DUPLICATE_CUSTOMER 3 name"),
        invalid("no name", sheet(customer("", "7")), "MISSING_VALUE 2 name"),
        invalid("a name with a space", sheet(customer("a b", "7")), "MALFORMED_NAME 2 name"),
        invalid("a name too long", sheet(customer("a".repeat(65), "7")), "MALFORMED_NAME 2 name"),
        invalid("a name over two lines", sheet(customer("\"a\nb\"", "7")), "MALFORMED_NAME 2 name"),
        invalid("nothing to change", sheet(customer(FIRST, "")), "NOTHING_TO_CHANGE 2 weight"),
        invalid("a weight of zero", sheet(customer(FIRST, "0")), "OUT_OF_RANGE 2 weight"),
        invalid("a negative weight", sheet(customer(FIRST, "-5")), "OUT_OF_RANGE 2 weight"),
        invalid("a weight too large", sheet(customer(FIRST, "1001")), "OUT_OF_RANGE 2 weight"),
        invalid(
            "a weight of 40 digits",
            sheet(customer(FIRST, "9".repeat(40))),
            "MALFORMED_NUMBER 2 weight"));
  }

  static Stream<InvalidSheet> values() {
    return Stream.of(
        invalid(
            "a weight with a fraction", sheet(customer(FIRST, "7.5")), "MALFORMED_NUMBER 2 weight"),
        invalid("a weight in words", sheet(customer(FIRST, "seven")), "MALFORMED_NUMBER 2 weight"),
        invalid(
            "digits of another script", sheet(customer(FIRST, "٧")), "MALFORMED_NUMBER 2 weight"),
        invalid(
            "NaN as a number",
            sheet("customer," + FIRST + ",,,NaN,,,,"),
            "MALFORMED_NUMBER 2 requests_per_second"),
        invalid(
            "limits of zero",
            sheet("customer," + FIRST + ",,,0,0,0,,"),
            "OUT_OF_RANGE 2 requests_per_second",
            "OUT_OF_RANGE 2 prompt_tokens_per_second",
            "OUT_OF_RANGE 2 open_requests"),
        invalid(
            "a decimal comma",
            sheet("customer," + FIRST + ",,,\"0,5\",,,,"),
            "MALFORMED_NUMBER 2 requests_per_second"),
        invalid(
            "an exponent",
            sheet("customer," + FIRST + ",,,,1e9,,,"),
            "MALFORMED_NUMBER 2 prompt_tokens_per_second"),
        invalid(
            "an unknown priority",
            sheet("customer," + FIRST + ",,URGENT,,,,,"),
            "UNKNOWN_PRIORITY 2 priority"),
        invalid(
            "a priority in lower case",
            sheet("customer," + FIRST + ",,high,,,,,"),
            "UNKNOWN_PRIORITY 2 priority"),
        invalid("a formula as name", sheet(customer("=HYPERLINK(A1)", "7")), "FORMULA_LIKE 2 name"),
        invalid("a formula as number", sheet(customer(FIRST, "=1+1")), "FORMULA_LIKE 2 weight"),
        invalid(
            "a formula as priority",
            sheet("customer," + FIRST + ",,@SUM(A1),,,,,"),
            "FORMULA_LIKE 2 priority"),
        invalid(
            "a customer with a stop",
            sheet("customer," + FIRST + ",7,,,,,2026-11-20T10:00Z,"),
            "UNEXPECTED_VALUE 2 from"),
        invalid(
            "an end line with a weight",
            HEADER + "\n" + DAY + ",end,0,7,,,,,,\n",
            "UNEXPECTED_VALUE 2 weight"),
        invalid(
            "faults on several lines",
            sheet(customer("nobody", "0"), customer(FIRST, "x")),
            "UNKNOWN_CUSTOMER 2 name",
            "OUT_OF_RANGE 2 weight",
            "MALFORMED_NUMBER 3 weight"));
  }

  static Stream<InvalidSheet> days() {
    return Stream.of(
        invalid("yesterday's", sheet(GOOD).replace(DAY, "2026-11-19"), "WRONG_DAY 2 day"),
        invalid("tomorrow's", sheet(GOOD).replace(DAY, "2026-11-21"), "WRONG_DAY 2 day"),
        invalid("last year's", sheet(GOOD).replace(DAY, "2025-11-20"), "WRONG_YEAR 2 day"),
        invalid(
            "an end line of another day",
            sheet(GOOD).replace(DAY + ",end", "2026-11-21,end"),
            "MIXED_DAYS 3 day"),
        invalid(
            "a day that does not exist",
            sheet(GOOD).replace(DAY, "2026-11-31"),
            "MALFORMED_DAY 2 day",
            "MALFORMED_DAY 3 day"),
        invalid(
            "a day in the form day.month.year",
            sheet(GOOD).replace(DAY, "20.11.2026"),
            "MALFORMED_DAY 2 day",
            "MALFORMED_DAY 3 day"),
        invalid(
            "no day", sheet(GOOD).replace(DAY, ""), "MISSING_VALUE 2 day", "MISSING_VALUE 3 day"));
  }

  static Stream<InvalidSheet> stops() {
    String early = stop("model-machine-0", "08:00", "10:00");
    return Stream.of(
        invalid(
            "an unknown machine", sheet(stop("vm-9", "08:00", "09:00")), "UNKNOWN_MACHINE 2 name"),
        invalid(
            "a stop that ends before it begins",
            sheet(stop("entry-0", "09:00", "08:00")),
            "STOP_ENDS_BEFORE_IT_BEGINS 2 until"),
        invalid(
            "a stop of zero length",
            sheet(stop("entry-0", "09:00", "09:00")),
            "STOP_ENDS_BEFORE_IT_BEGINS 2 until"),
        invalid(
            "a stop of a week",
            sheet("stop,entry-0,,,,,,2026-11-20T08:00Z,2026-11-27T08:00Z"),
            "STOP_TOO_LONG 2 until"),
        invalid(
            "more stops than allowed",
            sheet(Collections.nCopies(2_001, stop("entry-0", "08:00", "09:00"))),
            "TOO_MANY_STOPS 2002"),
        invalid(
            "a stop on another day",
            sheet("stop,entry-0,,,,,,2026-11-21T08:00Z,2026-11-21T09:00Z"),
            "STOP_ON_ANOTHER_DAY 2 from"),
        invalid(
            "a time without its offset",
            sheet("stop,entry-0,,,,,,2026-11-20T08:00,2026-11-20T09:00Z"),
            "MALFORMED_TIME 2 from"),
        invalid(
            "a time without its day",
            sheet("stop,entry-0,,,,,,08:00,09:00"),
            "MALFORMED_TIME 2 from",
            "MALFORMED_TIME 2 until"),
        invalid(
            "a stop without its end",
            sheet("stop,entry-0,,,,,,2026-11-20T08:00Z,"),
            "MISSING_VALUE 2 until"),
        invalid(
            "a stop with a weight",
            sheet("stop,entry-0,7,,,,,2026-11-20T08:00Z,2026-11-20T09:00Z"),
            "UNEXPECTED_VALUE 2 weight"),
        invalid(
            "overlapping stops",
            sheet(early, stop("model-machine-0", "09:00", "11:00")),
            "OVERLAPPING_STOPS 2 name",
            "OVERLAPPING_STOPS 3 name"),
        invalid(
            "stops of all replicas of a service",
            sheet(
                early,
                stop("model-machine-1", "08:30", "10:00"),
                stop("model-machine-2", "09:00", "10:00")),
            "STOP_TAKES_LAST_REPLICA 4 name"),
        invalid(
            "stops of all daemons of a zone",
            sheet(stop("entry-0", "08:00", "10:00"), stop("entry-3", "09:00", "10:00")),
            "STOP_TAKES_LAST_DAEMON 3 name"));
  }

  private static InvalidSheet invalid(String name, String text, String... faults) {
    return invalid(name, UTF_8, text, faults);
  }

  private static InvalidSheet invalid(String name, Charset charset, String text, String... faults) {
    return new InvalidSheet(name, charset, text, List.of(faults));
  }

  private static String endLine(String count) {
    return DAY + ",end," + count + ",,,,,,,\n";
  }

  private static String withoutLast(String text, int characters) {
    return text.substring(0, text.length() - characters);
  }

  private static String[] allColumnsMissing(String first) {
    return Stream.concat(
            Stream.of(first),
            Stream.of(SheetColumn.values()).map(column -> "MISSING_COLUMN 1 " + column.header()))
        .toArray(String[]::new);
  }

  /** Returns the faults of a sheet without a header, whose first line is read as the header. */
  private static String[] faultsWithoutHeader() {
    List<String> cells = List.of((DAY + "," + GOOD).split(",", -1));
    return Stream.concat(
            cells.stream().map(cell -> ("UNKNOWN_COLUMN 1 " + cell).trim()),
            Stream.of(SheetColumn.values()).map(column -> "MISSING_COLUMN 1 " + column.header()))
        .toArray(String[]::new);
  }
}
