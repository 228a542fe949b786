package dev.apricotmill.core.sheet;

import com.google.common.base.Ascii;
import java.util.Arrays;
import java.util.Optional;

/** The columns of a sheet. The header may list them in any order. */
enum SheetColumn {
  /** The day of the sheet, on every line. */
  DAY,
  /** The kind of the line. */
  KIND,
  /** The customer or machine; on the end line the number of customer and stop lines. */
  NAME,
  /** The customer's weight. */
  WEIGHT,
  /** The customer's priority. */
  PRIORITY,
  /** The customer's limit of requests per second. */
  REQUESTS_PER_SECOND,
  /** The customer's limit of prompt tokens per second. */
  PROMPT_TOKENS_PER_SECOND,
  /** The customer's limit of open requests. */
  OPEN_REQUESTS,
  /** When a stop begins. */
  FROM,
  /** When a stop ends. */
  UNTIL;

  /** Returns the name of the column in the header. */
  String header() {
    return Ascii.toLowerCase(name());
  }

  static Optional<SheetColumn> ofHeader(String header) {
    return Arrays.stream(values()).filter(column -> column.header().equals(header)).findFirst();
  }
}
