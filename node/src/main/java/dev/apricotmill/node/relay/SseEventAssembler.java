package dev.apricotmill.node.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Assembles complete server-sent events from chunks, so that another server can resume a stream
 * that breaks within an event. Buffers only the last, incomplete event.
 */
final class SseEventAssembler {

  private static final String ID_FIELD = "id:";
  private static final String COMMENT = ":";
  private static final byte[] NO_BYTES = {};

  /** An event holds a few dozen tokens; anything much longer is not a valid event. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private LineContent currentLine = LineContent.OTHER;
  private OptionalLong lastId;
  private boolean outOfOrder;

  SseEventAssembler(OptionalLong resumedAfter) {
    lastId = resumedAfter;
  }

  /** Adds a chunk and returns the events that it completes, byte for byte. */
  byte[] add(byte[] chunk) {
    int end = endOfLastEvent(chunk);
    if (end == 0) {
      partial.writeBytes(chunk);
      return NO_BYTES;
    }
    partial.write(chunk, 0, end);
    byte[] completeEvents = partial.toByteArray();
    readIds(completeEvents);
    partial.reset();
    partial.write(chunk, end, chunk.length - end);
    return completeEvents;
  }

  /** Discards the incomplete event of a broken stream. */
  void discardPartial() {
    partial.reset();
    currentLine = LineContent.OTHER;
  }

  /** Returns whether the incomplete event exceeds the maximum size of an event. */
  boolean isTooLong() {
    return partial.size() > MAX_EVENT_BYTES;
  }

  /** Returns the bytes of the incomplete event. */
  int partialBytes() {
    return partial.size();
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartial() {
    return partial.size() > 0;
  }

  /** Returns the id of the last complete event. */
  OptionalLong lastId() {
    return lastId;
  }

  /** Returns whether an event had no id, or one that is not a number above the previous id. */
  boolean isOutOfOrder() {
    return outOfOrder;
  }

  private void readIds(byte[] completeEvents) {
    boolean hasField = false;
    boolean hasId = false;
    for (String line :
        new String(completeEvents, StandardCharsets.ISO_8859_1).split("\\r?\\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        readId(line.substring(ID_FIELD.length()).strip());
        hasId = true;
      } else if (line.isEmpty()) {
        onEventEnd(hasField, hasId);
        hasField = false;
        hasId = false;
      }
      hasField |= !line.isEmpty() && !line.startsWith(COMMENT);
    }
  }

  /** What has no id where events have one is an error's text, for example. */
  private void onEventEnd(boolean hasField, boolean hasId) {
    outOfOrder |= hasField && !hasId && lastId.isPresent();
  }

  private void readId(String text) {
    try {
      long id = Long.parseLong(text);
      outOfOrder |= lastId.isPresent() && id <= lastId.getAsLong();
      lastId = OptionalLong.of(id);
    } catch (NumberFormatException e) {
      // A stream cannot be resumed after an id that is not a number.
      outOfOrder = true;
    }
  }

  /**
   * Returns the position in the chunk after the last blank line, or 0 if there is none. Only the
   * chunk is searched, since the cost of an event must not depend on the number of its chunks.
   */
  private int endOfLastEvent(byte[] chunk) {
    int end = 0;
    LineContent line = currentLine;
    for (int i = 0; i < chunk.length; i++) {
      if (chunk[i] == '\n' && line.isBlank()) {
        end = i + 1;
      }
      line = line.followedBy(chunk[i]);
    }
    currentLine = line;
    return end;
  }

  /** What has come of the current line. */
  private enum LineContent {
    NOTHING,
    CARRIAGE_RETURN,
    /** Also the line at the beginning of a stream, which ends no event. */
    OTHER;

    /** Returns whether a line feed makes it a blank line, which ends an event. */
    boolean isBlank() {
      return this != OTHER;
    }

    LineContent followedBy(byte next) {
      return switch (next) {
        case '\n' -> NOTHING;
        case '\r' -> this == NOTHING ? CARRIAGE_RETURN : OTHER;
        default -> OTHER;
      };
    }
  }
}
