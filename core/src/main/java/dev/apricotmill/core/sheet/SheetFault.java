package dev.apricotmill.core.sheet;

/**
 * One fault of a sheet, with its place.
 *
 * @param kind what is wrong
 * @param line the line in the file, from 1
 * @param column the name of the column, empty if the whole line or file is meant
 * @param subject the value that is wrong
 */
public record SheetFault(Kind kind, int line, String column, String subject) {

  /** Returns the fault as one line for operators. */
  public String describe() {
    String place = "line " + line + (column.isEmpty() ? "" : ", column " + column);
    return place + ": " + kind.explanation() + (subject.isEmpty() ? "" : ": " + subject);
  }

  /** What can be wrong with a sheet. */
  public enum Kind {
    /** The file is empty. */
    EMPTY("the sheet is empty"),
    /** The file is larger than a sheet may be. */
    TOO_LARGE("the sheet is larger than a sheet may be"),
    /** The text is not UTF-8. */
    WRONG_ENCODING("the text is not UTF-8; export the sheet as CSV in UTF-8"),
    /** The cells are separated by something else than commas. */
    WRONG_SEPARATOR("the cells must be separated by commas"),
    /** A quoted cell does not end, or a quote stands inside a cell. */
    MALFORMED_QUOTES("the quotes do not match"),
    /** A column that must be present is missing. */
    MISSING_COLUMN("the column is missing"),
    /** A column has a name that the format does not know. */
    UNKNOWN_COLUMN("the column is unknown"),
    /** A column stands twice in the header. */
    DUPLICATE_COLUMN("the column stands twice"),
    /** A line has more or fewer cells than the header. */
    WRONG_CELL_COUNT("the line has not as many cells as the header"),
    /** A cell that must have a value is empty. */
    MISSING_VALUE("the cell must not be empty"),
    /** A cell has a value where this kind of line takes none. */
    UNEXPECTED_VALUE("the cell must be empty on this kind of line"),
    /** A line changes nothing. */
    NOTHING_TO_CHANGE("the line has no value to set"),
    /** A cell looks like a formula of a spreadsheet. */
    FORMULA_LIKE("the cell looks like a formula"),
    /** The kind of the line is not known. */
    UNKNOWN_KIND("the kind of line is not known; allowed are customer, stop and end"),
    /** The line is of a service. */
    SERVICE_LINE("services share no replicas and have no priority; set those of customers"),
    /** The day is not of the form 2026-11-20. */
    MALFORMED_DAY("the day must have the form 2026-11-20"),
    /** The lines are of different days. */
    MIXED_DAYS("the line is of another day than the first one"),
    /** The sheet is of another day. */
    WRONG_DAY("the sheet is not of today"),
    /** The sheet is of the same day in another year. */
    WRONG_YEAR("the sheet is of another year"),
    /** The name has characters that a name may not have. */
    MALFORMED_NAME("a name has 1 to 64 letters, digits, dots, underscores or hyphens"),
    /** The text is not a number. */
    MALFORMED_NUMBER("the cell must be a plain number such as 12 or 0.5"),
    /** The number is outside its range. */
    OUT_OF_RANGE("the number is out of range"),
    /** The word is not a priority. */
    UNKNOWN_PRIORITY("the priority must be HIGH, NORMAL or LOW"),
    /** The time is not of the right form. */
    MALFORMED_TIME("a time must have the form 2026-11-20T10:30+01:00, with its offset"),
    /** The stop ends before it begins. */
    STOP_ENDS_BEFORE_IT_BEGINS("the stop ends before it begins"),
    /** The stop is longer than one may be. */
    STOP_TOO_LONG("the stop is longer than a day"),
    /** The sheet has more stops than a configuration may have. */
    TOO_MANY_STOPS("there are too many stops"),
    /** The stop begins on another day than that of the sheet. */
    STOP_ON_ANOTHER_DAY("the stop does not begin on the day of the sheet"),
    /** The customer stands twice in the sheet. */
    DUPLICATE_CUSTOMER("the customer stands twice in the sheet"),
    /** Two stops of one machine overlap. */
    OVERLAPPING_STOPS("another stop of the same machine overlaps"),
    /** The customer is not in the configuration. */
    UNKNOWN_CUSTOMER("the customer is not in the configuration in force"),
    /** The machine is neither in the configuration nor in the platform's list. */
    UNKNOWN_MACHINE("no replica and no daemon runs on this machine"),
    /** The stops would leave a service without a replica. */
    STOP_TAKES_LAST_REPLICA("the stops would leave a service without a replica"),
    /** The stops would leave a zone without a daemon. */
    STOP_TAKES_LAST_DAEMON("the stops would leave an availability zone without a daemon"),
    /** The last line does not say that the sheet is whole. */
    MISSING_END("the last line must be of kind end: the sheet is cut off"),
    /** Lines stand after the one that ends the sheet. */
    LINE_AFTER_END("there must be no line after the end"),
    /** The end names another number of lines. */
    WRONG_LINE_COUNT("the end must name the number of customer and stop lines"),
    /** The resulting configuration would be refused. */
    REFUSED_RESULT("the configuration with this sheet would be refused");

    private final String explanation;

    Kind(String explanation) {
      this.explanation = explanation;
    }

    /** Returns what is wrong, for operators. */
    public String explanation() {
      return explanation;
    }
  }
}
