package dev.apricotmill.adapters;

import java.io.IOException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** An input buffer that has each line checked before a decoder of the library interprets it. */
final class LineCheckingBuffer extends ForwardingInputBuffer {

  private static final int LINE_FEED_BYTES = 1;

  private final LineCheck check;

  /** Checks the lines of a part of a response, in their order. */
  @FunctionalInterface
  interface LineCheck {

    /**
     * Rejects a line that may not come next.
     *
     * @param line the line without its end
     * @param endsInLineFeedAlone whether no carriage return precedes the line feed
     */
    void check(String line, boolean endsInLineFeedAlone) throws MalformedResponseException;
  }

  LineCheckingBuffer(SessionInputBuffer buffer, LineCheck check) {
    super(buffer);
    this.check = check;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int start = line.length();
    int bufferedBefore = length();
    boolean complete = super.readLine(line, endOfStream);
    if (complete) {
      int lineBytes = line.length() - start;
      int endBytes = bufferedBefore - length() - lineBytes;
      check.check(line.substring(start, line.length()), endBytes == LINE_FEED_BYTES);
    }
    return complete;
  }
}
