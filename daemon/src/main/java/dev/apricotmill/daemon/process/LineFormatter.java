package dev.apricotmill.daemon.process;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line: instant, level, message and stack trace, if any. */
public final class LineFormatter extends Formatter {

  @Override
  public String format(LogRecord logRecord) {
    StringBuilder line =
        new StringBuilder()
            .append(logRecord.getInstant())
            .append(' ')
            .append(logRecord.getLevel().getName())
            .append(' ')
            .append(oneLine(formatMessage(logRecord)));
    if (logRecord.getThrown() != null) {
      line.append(" | ").append(oneLine(stackTrace(logRecord.getThrown())));
    }
    return line.append('\n').toString();
  }

  private static String stackTrace(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text, true));
    return text.toString().strip();
  }

  private static String oneLine(String text) {
    StringBuilder line = new StringBuilder(text.length());
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      line.append(Character.isISOControl(character) ? ' ' : character);
    }
    return line.toString();
  }
}
