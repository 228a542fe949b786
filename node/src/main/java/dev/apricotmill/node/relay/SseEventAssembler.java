package dev.apricotmill.node.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Cuts a stream of server-sent events after whole events, so that a stream that breaks within an
 * event can be continued by another server. Holds less than one event.
 */
final class SseEventAssembler {

  private static final String ID_FIELD = "id:";
  private static final byte[] NO_BYTES = {};

  /** Events hold some dozen tokens; far more without an end is no event. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private OptionalLong lastId;
  private boolean outOfOrder;

  SseEventAssembler(OptionalLong resumedAfter) {
    lastId = resumedAfter;
  }

  /** Takes a piece; returns the whole events that it completes, as they came. */
  byte[] add(byte[] chunk) {
    partial.writeBytes(chunk);
    byte[] buffered = partial.toByteArray();
    int end = endOfLastEvent(buffered);
    if (end == 0) {
      return NO_BYTES;
    }
    byte[] completeEvents = Arrays.copyOf(buffered, end);
    readIds(completeEvents);
    partial.reset();
    partial.write(buffered, end, buffered.length - end);
    return completeEvents;
  }

  /** Drops what a server sent of an event before it broke off. */
  void discardPartial() {
    partial.reset();
  }

  /** Returns whether more bytes are held that end no event than an event may have. */
  boolean isTooLong() {
    return partial.size() > MAX_EVENT_BYTES;
  }

  /** Returns whether bytes are held that end no event. */
  boolean hasPartial() {
    return partial.size() > 0;
  }

  /** Returns the number of the last whole event. */
  OptionalLong lastId() {
    return lastId;
  }

  /** Returns whether an event came whose number does not follow the one before. */
  boolean isOutOfOrder() {
    return outOfOrder;
  }

  private void readIds(byte[] completeEvents) {
    new String(completeEvents, StandardCharsets.ISO_8859_1)
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .forEach(line -> readId(line.substring(ID_FIELD.length()).strip()));
  }

  private void readId(String text) {
    try {
      long id = Long.parseLong(text);
      outOfOrder |= lastId.isPresent() && id <= lastId.getAsLong();
      lastId = OptionalLong.of(id);
    } catch (NumberFormatException e) {
      // An identifier that is no number cannot be resumed after; it passes unread.
      outOfOrder = true;
    }
  }

  private static int endOfLastEvent(byte[] bytes) {
    for (int i = bytes.length - 1; i > 0; i--) {
      if (bytes[i] == '\n' && endsBlankLine(bytes, i)) {
        return i + 1;
      }
    }
    return 0;
  }

  private static boolean endsBlankLine(byte[] bytes, int newline) {
    if (bytes[newline - 1] == '\n') {
      return true;
    }
    return newline >= 2 && bytes[newline - 1] == '\r' && bytes[newline - 2] == '\n';
  }
}
