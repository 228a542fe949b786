package dev.apricotmill.adapters;

import org.jspecify.annotations.Nullable;

/** The lines of the head of a response: a status line and fields. */
final class HeadLines implements LineCheckingBuffer.LineCheck {

  private @Nullable FieldLines fields;

  @Override
  public void check(String line, boolean endsInLineFeedAlone) throws MalformedResponseException {
    FieldLines afterStatusLine = fields;
    if (afterStatusLine != null) {
      afterStatusLine.check(line, endsInLineFeedAlone);
    } else if (!line.isEmpty()) {
      checkStatusLine(line);
      fields = new FieldLines(!endsInLineFeedAlone);
    }
  }

  private static void checkStatusLine(String line) throws MalformedResponseException {
    if (!StatusLines.isStatusLine(line) || !FieldLines.isText(line)) {
      throw new MalformedResponseException("a line that is no status line");
    }
  }
}
