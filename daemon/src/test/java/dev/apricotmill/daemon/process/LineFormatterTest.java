package dev.apricotmill.daemon.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

final class LineFormatterTest {

  @Test
  void aRecordIsOneLineEvenIfItsTextsContainLineBreaks() {
    LogRecord entry = new LogRecord(Level.WARNING, "inner: peer {0} said {1}");
    entry.setInstant(Instant.parse("2026-11-20T06:00:00Z"));
    entry.setParameters(new Object[] {"127.0.0.1:7", "a\nWARNING forged: line\r"});
    entry.setThrown(new IllegalStateException("first\nsecond"));
    String line = new LineFormatter().format(entry);
    assertThat(line)
        .startsWith(
            "2026-11-20T06:00:00Z WARNING inner: peer 127.0.0.1:7 said a WARNING forged: line ");
    assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
    assertThat(line).contains("java.lang.IllegalStateException: first second");
  }
}
