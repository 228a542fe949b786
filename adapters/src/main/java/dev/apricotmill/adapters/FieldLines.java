package dev.apricotmill.adapters;

import com.google.common.base.CharMatcher;

/**
 * The field lines of a head or of trailers, up to the empty line that ends them (RFC 9110, section
 * 5; RFC 9112, section 5).
 *
 * <p>The library accepts any character in a name, so that a field whose name was corrupted, such as
 * {@code Content-Length}, would count as another one.
 */
final class FieldLines implements LineCheckingBuffer.LineCheck {

  private static final CharMatcher NAME =
      CharMatcher.inRange('0', '9')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('a', 'z'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
          .precomputed();

  /** A tab, visible characters, blanks, and bytes above ASCII. */
  private static final CharMatcher TEXT =
      CharMatcher.is('\t')
          .or(CharMatcher.inRange(' ', '~'))
          .or(CharMatcher.inRange('\u0080', '\u00ff'))
          .precomputed();

  private boolean followsCarriageReturn;

  /**
   * Creates a check of the lines after a status line, or after the line of the last chunk.
   *
   * @param followsCarriageReturn whether that line ends in a carriage return and a line feed
   */
  FieldLines(boolean followsCarriageReturn) {
    this.followsCarriageReturn = followsCarriageReturn;
  }

  /** Returns whether a text holds no control character but tabs. */
  static boolean isText(String text) {
    return TEXT.matchesAllOf(text);
  }

  @Override
  public void check(String line, boolean endsInLineFeedAlone) throws MalformedResponseException {
    if (line.isEmpty()) {
      checkEnd(endsInLineFeedAlone);
      return;
    }
    followsCarriageReturn |= !endsInLineFeedAlone;
    checkField(line);
  }

  /** A line feed in front of a name would otherwise end the fields before that name. */
  private void checkEnd(boolean endsInLineFeedAlone) throws MalformedResponseException {
    if (endsInLineFeedAlone && followsCarriageReturn) {
      throw new MalformedResponseException("a line feed without a carriage return ends the fields");
    }
  }

  /**
   * A line that begins with a blank is rejected too: it would continue the value of the field
   * before it, so that a field whose name follows the blank would be lost. Gateways may reject such
   * responses (RFC 9112, section 5.2).
   */
  private static void checkField(String line) throws MalformedResponseException {
    int colon = line.indexOf(':');
    if (colon <= 0 || !NAME.matchesAllOf(line.substring(0, colon))) {
      throw new MalformedResponseException("a line that is no field");
    }
    if (!isText(line)) {
      throw new MalformedResponseException("a control character in the value of a field");
    }
  }
}
