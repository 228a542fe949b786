package dev.apricotmill.adapters;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;
import org.jspecify.annotations.Nullable;

/**
 * The lines of a chunked body: the size of each chunk, the empty line after its content, and the
 * trailers (RFC 9112, section 7.1).
 *
 * <p>The library accepts a sign and blanks around a size. The last digit of {@code 10} that became
 * a blank would thus make a shorter chunk.
 */
final class ChunkLines implements LineCheckingBuffer.LineCheck {

  private static final CharMatcher HEXADECIMAL =
      CharMatcher.inRange('0', '9')
          .or(CharMatcher.inRange('a', 'f'))
          .or(CharMatcher.inRange('A', 'F'))
          .precomputed();

  private static final char EXTENSION = ';';
  private static final CharMatcher BLANK = CharMatcher.anyOf(" \t");

  private static final int RADIX = 16;

  private @Nullable FieldLines trailers;
  private boolean withinChunk;

  @Override
  public void check(String line, boolean endsInLineFeedAlone) throws MalformedResponseException {
    FieldLines afterLastChunk = trailers;
    if (afterLastChunk != null) {
      afterLastChunk.check(line, endsInLineFeedAlone);
    } else if (withinChunk) {
      checkEndOfContent(line);
      withinChunk = false;
    } else if (sizeIn(line) > 0) {
      withinChunk = true;
    } else {
      trailers = new FieldLines(!endsInLineFeedAlone);
    }
  }

  private static void checkEndOfContent(String line) throws MalformedResponseException {
    if (!line.isEmpty()) {
      throw new MalformedResponseException("a chunk that is longer than its size");
    }
  }

  private static long sizeIn(String line) throws MalformedResponseException {
    int extension = line.indexOf(EXTENSION);
    String size = extension < 0 ? line : BLANK.trimTrailingFrom(line.substring(0, extension));
    @Nullable Long parsed = HEXADECIMAL.matchesAllOf(size) ? Longs.tryParse(size, RADIX) : null;
    if (parsed == null || !FieldLines.isText(line)) {
      throw new MalformedResponseException("a line that is no size of a chunk");
    }
    return parsed;
  }
}
