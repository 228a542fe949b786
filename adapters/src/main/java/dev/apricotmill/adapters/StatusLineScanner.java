package dev.apricotmill.adapters;

import com.google.common.base.Ascii;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** An input buffer that looks for the beginning of a response in all that is read of it. */
final class StatusLineScanner extends ForwardingInputBuffer {

  private static final String STATUS_LINE = "http/";

  private int matchedCharacters;
  private long scannedBytes;
  private boolean foundStatusLine;

  StatusLineScanner(SessionInputBuffer buffer) {
    super(buffer);
  }

  /** Returns whether what was read contains the beginning of a response. */
  boolean hasFoundStatusLine() {
    return foundStatusLine;
  }

  /** Returns the number of bytes that were read. */
  long scannedBytes() {
    return scannedBytes;
  }

  @Override
  public int read() {
    int next = super.read();
    if (next >= 0) {
      scan((char) next);
    }
    return next;
  }

  @Override
  public int read(ByteBuffer target, int maximumBytes) {
    int start = target.position();
    int count = super.read(target, maximumBytes);
    scan(target, start);
    return count;
  }

  @Override
  public int read(ByteBuffer target) {
    return read(target, target.remaining());
  }

  @Override
  public int read(WritableByteChannel target, int maximumBytes) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(Math.min(maximumBytes, length()));
    read(bytes);
    bytes.flip();
    while (bytes.hasRemaining()) {
      target.write(bytes);
    }
    return bytes.limit();
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    return read(target, length());
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int start = line.length();
    boolean complete = super.readLine(line, endOfStream);
    for (int i = start; i < line.length(); i++) {
      scan(line.charAt(i));
    }
    if (complete) {
      scan('\n');
    }
    return complete;
  }

  private void scan(ByteBuffer target, int start) {
    for (int i = start; i < target.position(); i++) {
      scan((char) (target.get(i) & 0xff));
    }
  }

  private void scan(char next) {
    scannedBytes++;
    char lowerCase = Ascii.toLowerCase(next);
    if (lowerCase == STATUS_LINE.charAt(matchedCharacters)) {
      matchedCharacters++;
    } else {
      matchedCharacters = lowerCase == STATUS_LINE.charAt(0) ? 1 : 0;
    }
    if (matchedCharacters == STATUS_LINE.length()) {
      foundStatusLine = true;
      matchedCharacters = 0;
    }
  }
}
