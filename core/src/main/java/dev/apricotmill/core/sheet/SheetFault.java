package dev.apricotmill.core.sheet;

/**
 * A fault in a sheet, with its location.
 *
 * @param kind what is wrong
 * @param line the line number in the file, from 1
 * @param column the name of the column, empty if the fault concerns the whole line or file
 * @param subject the faulty value, or a detail of the fault; may be empty
 */
public record SheetFault(Kind kind, int line, String column, String subject) {

  /** Returns the fault as one line for operators. */
  public String describe() {
    String place = "line " + line + (column.isEmpty() ? "" : ", column " + column);
    return place + ": " + kind.explanation() + (subject.isEmpty() ? "" : ": " + subject);
  }

  /** The kinds of faults in a sheet. */
  public enum Kind {
    /** The file is empty. */
    EMPTY("the sheet is empty"),
    /** The file is larger than the limit. */
    TOO_LARGE("the sheet is larger than a sheet may be"),
    /** The text is not UTF-8. */
    WRONG_ENCODING("the text is not UTF-8; export the sheet as CSV in UTF-8"),
    /** The cells are not separated by commas. */
    WRONG_SEPARATOR("the cells must be separated by commas"),
    /** A quoted cell is not closed, or a cell contains a stray quote. */
    MALFORMED_QUOTES("the quotes do not match"),
    /** A column that must be present is missing. */
    MISSING_COLUMN("the column is missing"),
    /** The format has no column of that name. */
    UNKNOWN_COLUMN("the column is unknown"),
    /** A column occurs twice in the header. */
    DUPLICATE_COLUMN("the column occurs twice"),
    /** A line has more or fewer cells than the header. */
    WRONG_CELL_COUNT("the line does not have as many cells as the header"),
    /** A cell that must have a value is empty. */
    MISSING_VALUE("the cell must not be empty"),
    /** A cell has a value that lines of this kind do not have. */
    UNEXPECTED_VALUE("the cell must be empty on this kind of line"),
    /** A customer line sets no value. */
    NOTHING_TO_CHANGE("the line has no value to set"),
    /** A cell looks like a spreadsheet formula. */
    FORMULA_LIKE("the cell looks like a formula"),
    /** The kind of the line is unknown. */
    UNKNOWN_KIND("the kind of line is not known; allowed are customer, stop and end"),
    /** The line is for a service, which a sheet cannot change. */
    SERVICE_LINE("services share no replicas and have no priority; set those of the customers"),
    /** The day is not of the form 2026-11-20. */
    MALFORMED_DAY("the day must have the form 2026-11-20"),
    /** The lines are for different days. */
    MIXED_DAYS("the line is for another day than the first one"),
    /** The sheet is for another day. */
    WRONG_DAY("the sheet is not of today"),
    /** The sheet is for the same day of another year. */
    WRONG_YEAR("the sheet is for the same day of another year"),
    /** The text is not a valid name. */
    MALFORMED_NAME("a name has 1 to 64 letters, digits, dots, underscores or hyphens"),
    /** The text is not a number. */
    MALFORMED_NUMBER("the cell must be a plain number such as 12 or 0.5"),
    /** The number is outside its range. */
    OUT_OF_RANGE("the number is out of range"),
    /** The text is not a priority. */
    UNKNOWN_PRIORITY("the priority must be HIGH, NORMAL or LOW"),
    /** The text is not a time with a UTC offset. */
    MALFORMED_TIME("a time must have the form 2026-11-20T10:30+01:00, with its UTC offset"),
    /** The stop ends before it begins. */
    STOP_ENDS_BEFORE_IT_BEGINS("the stop ends before it begins"),
    /** The stop is longer than the limit. */
    STOP_TOO_LONG("the stop is longer than a day"),
    /** The sheet has more stops than a configuration may have. */
    TOO_MANY_STOPS("there are too many stops"),
    /** The stop does not begin on the day of the sheet. */
    STOP_ON_ANOTHER_DAY("the stop does not begin on the day of the sheet"),
    /** The sheet has two lines for the customer. */
    DUPLICATE_CUSTOMER("the customer occurs twice in the sheet"),
    /** Two stops of one machine overlap. */
    OVERLAPPING_STOPS("another stop of the same machine overlaps"),
    /** The current configuration has no such customer. */
    UNKNOWN_CUSTOMER("the customer is not in the current configuration"),
    /** The machine is neither in the current configuration nor in the platform's list. */
    UNKNOWN_MACHINE("no replica and no daemon runs on this machine"),
    /** The stops would leave a service without a replica. */
    STOP_TAKES_LAST_REPLICA("the stops would leave a service without a replica"),
    /** The stops would leave a zone without a daemon. */
    STOP_TAKES_LAST_DAEMON("the stops would leave an availability zone without a daemon"),
    /** The end line is missing, so the sheet may be truncated. */
    MISSING_END("the last line must be of kind end: the sheet is truncated"),
    /** There are lines after the end line. */
    LINE_AFTER_END("there must be no line after the end line"),
    /** The line count in the end line is wrong. */
    WRONG_LINE_COUNT("the end line must give the number of customer and stop lines"),
    /** The resulting configuration would be refused. */
    REFUSED_RESULT("the configuration with this sheet would be refused");

    private final String explanation;

    Kind(String explanation) {
      this.explanation = explanation;
    }

    /** Returns the message for operators. */
    public String explanation() {
      return explanation;
    }
  }
}
