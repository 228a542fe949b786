package dev.apricotmill.adapters;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Decodes a stream of server-sent events into the data of each event.
 *
 * <p>Comments and fields other than {@code data} are ignored. An incomplete event at the end of the
 * stream is dropped.
 */
final class ServerSentEventDecoder {

  private static final String DATA_FIELD = "data:";

  private final int maximumEventBytes;
  private final Consumer<String> sink;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private boolean hasData;

  ServerSentEventDecoder(int maximumEventBytes, Consumer<String> sink) {
    this.maximumEventBytes = maximumEventBytes;
    this.sink = sink;
  }

  /** Decodes more bytes; returns false if an event exceeds the size limit. */
  boolean decode(ByteBuffer source) {
    while (source.hasRemaining()) {
      byte next = source.get();
      if (next == '\n') {
        endLine();
      } else {
        line.write(next);
      }
      if (line.size() + data.length() > maximumEventBytes) {
        return false;
      }
    }
    return true;
  }

  private void endLine() {
    String text = line.toString(UTF_8);
    line.reset();
    if (text.endsWith("\r")) {
      text = text.substring(0, text.length() - 1);
    }
    if (text.isEmpty()) {
      endEvent();
    } else if (text.startsWith(DATA_FIELD)) {
      addData(text.substring(DATA_FIELD.length()));
    }
  }

  private void addData(String value) {
    if (hasData) {
      data.append('\n');
    }
    hasData = true;
    data.append(value.startsWith(" ") ? value.substring(1) : value);
  }

  private void endEvent() {
    if (!hasData) {
      return;
    }
    String complete = data.toString();
    data.setLength(0);
    hasData = false;
    sink.accept(complete);
  }
}
