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

class BadSheetsTest {
  private static final String FIRST = "customer-00000";
  private static final String GOOD = customer(FIRST, "7");

  /** A bad sheet and the faults that it must be refused for, as kind, line and column. */
  private record BadSheet(String name, Charset charset, String text, List<String> faults) {
    @Override
    public String toString() {
      return name;
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"texts", "tables", "lines", "values", "days", "stops"})
  void aBadSheetIsRefusedWithEveryFaultInItsPlace(BadSheet bad) {
    SheetResult result =
        SheetApplication.apply(bad.text().getBytes(bad.charset()), Sheets.context());

    assertThat(result).isInstanceOf(SheetResult.Refused.class);
    List<String> faults =
        ((SheetResult.Refused) result)
            .faults().stream()
                .map(fault -> (fault.kind() + " " + fault.line() + " " + fault.column()).trim())
                .toList();
    assertThat(faults).containsExactlyElementsIn(bad.faults());
  }

  static Stream<BadSheet> texts() {
    String umlaut = sheet(GOOD, "customer,prio-é,,,,,,,");
    return Stream.of(
        bad("empty", "", "EMPTY 1"),
        bad("only blank lines", "\n \r\n\n", "EMPTY 1"),
        bad("only a byte order mark", "\uFEFF", "EMPTY 1"),
        bad("UTF-16 with a mark", UTF_16, sheet(GOOD), "WRONG_ENCODING 1"),
        bad("UTF-16 without a mark", UTF_16LE, sheet(GOOD), "WRONG_ENCODING 1"),
        bad("Latin-1", ISO_8859_1, umlaut, "WRONG_ENCODING 3"),
        bad("a zero byte", sheet(GOOD, customer("a\0b", "1")), "WRONG_ENCODING 3"),
        bad("too large", HEADER + "\n".repeat(SheetApplication.MAXIMUM_BYTES), "TOO_LARGE 1"),
        bad("no CSV at all", "{\"day\": 1}", manyMissing("UNKNOWN_COLUMN 1 {\"day\": 1}")));
  }

  static Stream<BadSheet> tables() {
    return Stream.of(
        bad("semicolons", sheet(GOOD).replace(',', ';'), "WRONG_SEPARATOR 1"),
        bad("tabs", sheet(GOOD).replace(',', '\t'), "WRONG_SEPARATOR 1"),
        bad("an unclosed quote", sheet("customer,\"" + FIRST + ",7,,,,,,"), "MALFORMED_QUOTES 2"),
        bad("a missing column", sheet(GOOD).replace(",until", ""), "MISSING_COLUMN 1 until"),
        bad(
            "an unknown column",
            sheet(GOOD).replace(",until", ",till"),
            "UNKNOWN_COLUMN 1 till",
            "MISSING_COLUMN 1 until"),
        bad(
            "a column twice",
            sheet(GOOD).replace(",until", ",from"),
            "DUPLICATE_COLUMN 1 from",
            "MISSING_COLUMN 1 until"),
        bad("no header", Sheets.body(List.of(GOOD)), noHeader()),
        bad(
            "a short line",
            sheet("customer," + FIRST + ",7"),
            "WRONG_CELL_COUNT 2",
            "WRONG_LINE_COUNT 3 name"),
        bad("a long line", sheet(GOOD + ",,"), "WRONG_CELL_COUNT 2", "WRONG_LINE_COUNT 3 name"),
        bad("only a header", HEADER + "\n", "MISSING_END 1"),
        bad("cut off between lines", HEADER + "\n" + Sheets.body(List.of(GOOD)), "MISSING_END 2"),
        bad("cut off within a line", cut(sheet(GOOD), 12), "WRONG_CELL_COUNT 3", "MISSING_END 2"),
        bad("lines lost in the middle", HEADER + "\n" + end("3"), "WRONG_LINE_COUNT 2 name"),
        bad(
            "two sheets in one file",
            sheet(GOOD) + Sheets.body(List.of(customer("customer-00001", "1"))),
            "LINE_AFTER_END 4 kind"));
  }

  static Stream<BadSheet> lines() {
    return Stream.of(
        bad(
            "an unknown kind",
            sheet("client," + FIRST + ",7,,,,,,"),
            "UNKNOWN_KIND 2 kind",
            "WRONG_LINE_COUNT 3 name"),
        bad(
            "no kind",
            sheet("," + FIRST + ",7,,,,,,"),
            "MISSING_VALUE 2 kind",
            "WRONG_LINE_COUNT 3 name"),
        bad(
            "a service",
            sheet("service,model,,HIGH,,,,,"),
            "SERVICE_LINE 2 kind",
            "WRONG_LINE_COUNT 3 name"),
        bad("an unknown customer", sheet(customer("nobody", "7")), "UNKNOWN_CUSTOMER 2 name"),
        bad("a customer twice", sheet(GOOD, GOOD), "DUPLICATE_CUSTOMER 3 name"),
        bad("no name", sheet(customer("", "7")), "MISSING_VALUE 2 name"),
        bad("a name with a space", sheet(customer("a b", "7")), "MALFORMED_NAME 2 name"),
        bad("a name too long", sheet(customer("a".repeat(65), "7")), "MALFORMED_NAME 2 name"),
        bad("a name over two lines", sheet(customer("\"a\nb\"", "7")), "MALFORMED_NAME 2 name"),
        bad("nothing to change", sheet(customer(FIRST, "")), "NOTHING_TO_CHANGE 2 weight"),
        bad("a weight of zero", sheet(customer(FIRST, "0")), "OUT_OF_RANGE 2 weight"),
        bad("a negative weight", sheet(customer(FIRST, "-5")), "OUT_OF_RANGE 2 weight"),
        bad("a weight too large", sheet(customer(FIRST, "1001")), "OUT_OF_RANGE 2 weight"),
        bad(
            "a weight beyond all numbers",
            sheet(customer(FIRST, "9".repeat(40))),
            "MALFORMED_NUMBER 2 weight"));
  }

  static Stream<BadSheet> values() {
    return Stream.of(
        bad("a weight with a fraction", sheet(customer(FIRST, "7.5")), "MALFORMED_NUMBER 2 weight"),
        bad("a weight in words", sheet(customer(FIRST, "seven")), "MALFORMED_NUMBER 2 weight"),
        bad("digits of another script", sheet(customer(FIRST, "٧")), "MALFORMED_NUMBER 2 weight"),
        bad(
            "no number",
            sheet("customer," + FIRST + ",,,NaN,,,,"),
            "MALFORMED_NUMBER 2 requests_per_second"),
        bad(
            "a limit of nothing",
            sheet("customer," + FIRST + ",,,0,0,0,,"),
            "OUT_OF_RANGE 2 requests_per_second",
            "OUT_OF_RANGE 2 prompt_tokens_per_second",
            "OUT_OF_RANGE 2 open_requests"),
        bad(
            "a decimal comma",
            sheet("customer," + FIRST + ",,,\"0,5\",,,,"),
            "MALFORMED_NUMBER 2 requests_per_second"),
        bad(
            "an exponent",
            sheet("customer," + FIRST + ",,,,1e9,,,"),
            "MALFORMED_NUMBER 2 prompt_tokens_per_second"),
        bad(
            "an unknown priority",
            sheet("customer," + FIRST + ",,URGENT,,,,,"),
            "UNKNOWN_PRIORITY 2 priority"),
        bad(
            "a priority in lower case",
            sheet("customer," + FIRST + ",,high,,,,,"),
            "UNKNOWN_PRIORITY 2 priority"),
        bad("a formula as name", sheet(customer("=HYPERLINK(A1)", "7")), "FORMULA_LIKE 2 name"),
        bad("a formula as number", sheet(customer(FIRST, "=1+1")), "FORMULA_LIKE 2 weight"),
        bad(
            "a formula as priority",
            sheet("customer," + FIRST + ",,@SUM(A1),,,,,"),
            "FORMULA_LIKE 2 priority"),
        bad(
            "a customer with a stop",
            sheet("customer," + FIRST + ",7,,,,,2026-11-20T10:00Z,"),
            "UNEXPECTED_VALUE 2 from"),
        bad(
            "an end with a weight",
            HEADER + "\n" + DAY + ",end,0,7,,,,,,\n",
            "UNEXPECTED_VALUE 2 weight"),
        bad(
            "faults on several lines",
            sheet(customer("nobody", "0"), customer(FIRST, "x")),
            "UNKNOWN_CUSTOMER 2 name",
            "OUT_OF_RANGE 2 weight",
            "MALFORMED_NUMBER 3 weight"));
  }

  static Stream<BadSheet> days() {
    return Stream.of(
        bad("yesterday's", sheet(GOOD).replace(DAY, "2026-11-19"), "WRONG_DAY 2 day"),
        bad("tomorrow's", sheet(GOOD).replace(DAY, "2026-11-21"), "WRONG_DAY 2 day"),
        bad("last year's", sheet(GOOD).replace(DAY, "2025-11-20"), "WRONG_YEAR 2 day"),
        bad("two days", sheet(GOOD).replace(DAY + ",end", "2026-11-21,end"), "MIXED_DAYS 3 day"),
        bad(
            "a day that does not exist",
            sheet(GOOD).replace(DAY, "2026-11-31"),
            "MALFORMED_DAY 2 day",
            "MALFORMED_DAY 3 day"),
        bad(
            "the day the other way round",
            sheet(GOOD).replace(DAY, "20.11.2026"),
            "MALFORMED_DAY 2 day",
            "MALFORMED_DAY 3 day"),
        bad("no day", sheet(GOOD).replace(DAY, ""), "MISSING_VALUE 2 day", "MISSING_VALUE 3 day"));
  }

  static Stream<BadSheet> stops() {
    String early = stop("model-machine-0", "08:00", "10:00");
    return Stream.of(
        bad("an unknown machine", sheet(stop("vm-9", "08:00", "09:00")), "UNKNOWN_MACHINE 2 name"),
        bad(
            "a stop that ends first",
            sheet(stop("entry-0", "09:00", "08:00")),
            "STOP_ENDS_BEFORE_IT_BEGINS 2 until"),
        bad(
            "a stop of no time",
            sheet(stop("entry-0", "09:00", "09:00")),
            "STOP_ENDS_BEFORE_IT_BEGINS 2 until"),
        bad(
            "a stop of a week",
            sheet("stop,entry-0,,,,,,2026-11-20T08:00Z,2026-11-27T08:00Z"),
            "STOP_TOO_LONG 2 until"),
        bad(
            "more stops than allowed",
            sheet(Collections.nCopies(2_001, stop("entry-0", "08:00", "09:00"))),
            "TOO_MANY_STOPS 2002"),
        bad(
            "a stop on another day",
            sheet("stop,entry-0,,,,,,2026-11-21T08:00Z,2026-11-21T09:00Z"),
            "STOP_ON_ANOTHER_DAY 2 from"),
        bad(
            "a time without its offset",
            sheet("stop,entry-0,,,,,,2026-11-20T08:00,2026-11-20T09:00Z"),
            "MALFORMED_TIME 2 from"),
        bad(
            "a time without its day",
            sheet("stop,entry-0,,,,,,08:00,09:00"),
            "MALFORMED_TIME 2 from",
            "MALFORMED_TIME 2 until"),
        bad(
            "a stop without its end",
            sheet("stop,entry-0,,,,,,2026-11-20T08:00Z,"),
            "MISSING_VALUE 2 until"),
        bad(
            "a stop with a weight",
            sheet("stop,entry-0,7,,,,,2026-11-20T08:00Z,2026-11-20T09:00Z"),
            "UNEXPECTED_VALUE 2 weight"),
        bad(
            "overlapping stops",
            sheet(early, stop("model-machine-0", "09:00", "11:00")),
            "OVERLAPPING_STOPS 2 name",
            "OVERLAPPING_STOPS 3 name"),
        bad(
            "the last replica",
            sheet(
                early,
                stop("model-machine-1", "08:30", "10:00"),
                stop("model-machine-2", "09:00", "10:00")),
            "STOP_TAKES_LAST_REPLICA 4 name"),
        bad(
            "the last daemon of a zone",
            sheet(stop("entry-0", "08:00", "10:00"), stop("entry-3", "09:00", "10:00")),
            "STOP_TAKES_LAST_DAEMON 3 name"));
  }

  private static BadSheet bad(String name, String text, String... faults) {
    return bad(name, UTF_8, text, faults);
  }

  private static BadSheet bad(String name, Charset charset, String text, String... faults) {
    return new BadSheet(name, charset, text, List.of(faults));
  }

  private static String end(String count) {
    return DAY + ",end," + count + ",,,,,,,\n";
  }

  private static String cut(String text, int characters) {
    return text.substring(0, text.length() - characters);
  }

  private static String[] manyMissing(String first) {
    return Stream.concat(
            Stream.of(first),
            Stream.of(SheetColumn.values()).map(column -> "MISSING_COLUMN 1 " + column.header()))
        .toArray(String[]::new);
  }

  /** Returns the faults of a sheet whose first line is taken as the header. */
  private static String[] noHeader() {
    List<String> cells = List.of((DAY + "," + GOOD).split(",", -1));
    return Stream.concat(
            cells.stream().map(cell -> ("UNKNOWN_COLUMN 1 " + cell).trim()),
            Stream.of(SheetColumn.values()).map(column -> "MISSING_COLUMN 1 " + column.header()))
        .toArray(String[]::new);
  }
}
