package dev.apricotmill.adapters;

import com.google.common.base.CharMatcher;
import org.jspecify.annotations.Nullable;

/** Finds status lines of responses in text. */
final class StatusLines {

  private static final String PROTOCOL = "HTTP";
  private static final int STATUS_DIGITS = 3;
  private static final CharMatcher VERSION = CharMatcher.inRange('0', '9').or(CharMatcher.is('.'));
  private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

  private StatusLines() {}

  /** Returns whether a text is a status line; blanks may precede it (RFC 9112, section 4). */
  static boolean isStatusLine(String text) {
    int start = endOf(BLANK, text, 0);
    return text.startsWith(PROTOCOL + "/", start)
        && isStatusLineAt(text, start + PROTOCOL.length());
  }

  /**
   * Returns whether a text contains a protocol with its version and a status of three digits, such
   * as {@code HTTP/1.1 500}. Few texts contain a slash, so most are not looked at in full.
   */
  static boolean isStatusLineIn(@Nullable String text) {
    if (text == null) {
      return false;
    }
    int slash = text.indexOf('/');
    while (slash >= 0) {
      if (isStatusLineAt(text, slash)) {
        return true;
      }
      slash = text.indexOf('/', slash + 1);
    }
    return false;
  }

  private static boolean isStatusLineAt(String text, int slash) {
    int start = slash - PROTOCOL.length();
    if (start < 0 || !text.regionMatches(true, start, PROTOCOL, 0, PROTOCOL.length())) {
      return false;
    }
    int version = endOf(VERSION, text, slash + 1);
    int blanks = endOf(BLANK, text, version);
    int status = blanks + STATUS_DIGITS;
    return version > slash + 1
        && blanks > version
        && status <= text.length()
        && CharMatcher.inRange('0', '9').matchesAllOf(text.substring(blanks, status))
        && (status == text.length() || BLANK.matches(text.charAt(status)));
  }

  private static int endOf(CharMatcher matcher, String text, int from) {
    int end = from;
    while (end < text.length() && matcher.matches(text.charAt(end))) {
      end++;
    }
    return end;
  }
}
