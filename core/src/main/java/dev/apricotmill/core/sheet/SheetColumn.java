package dev.apricotmill.core.sheet;

import com.google.common.base.Ascii;
import java.util.Arrays;
import java.util.Optional;

/** The columns of a sheet; the header may give them in any order. */
enum SheetColumn {
  /** The day of the sheet, on every line. */
  DAY,
  /** The kind of the line. */
  KIND,
  /** The customer or machine; on the last line the number of lines before it. */
  NAME,
  /** The customer's weight. */
  WEIGHT,
  /** The customer's priority. */
  PRIORITY,
  /** Requests a second. */
  REQUESTS_PER_SECOND,
  /** Prompt tokens a second. */
  PROMPT_TOKENS_PER_SECOND,
  /** Requests open at once. */
  OPEN_REQUESTS,
  /** When a stop begins. */
  FROM,
  /** When a stop ends. */
  UNTIL;

  /** Returns the name in the header. */
  String header() {
    return Ascii.toLowerCase(name());
  }

  static Optional<SheetColumn> ofHeader(String header) {
    return Arrays.stream(values()).filter(column -> column.header().equals(header)).findFirst();
  }
}
