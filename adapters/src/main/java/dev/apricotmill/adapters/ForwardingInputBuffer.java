package dev.apricotmill.adapters;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** An input buffer that forwards each call to another one. */
abstract class ForwardingInputBuffer implements SessionInputBuffer {

  private final SessionInputBuffer buffer;

  ForwardingInputBuffer(SessionInputBuffer buffer) {
    this.buffer = buffer;
  }

  @Override
  public boolean hasData() {
    return buffer.hasData();
  }

  @Override
  public int length() {
    return buffer.length();
  }

  @Override
  public int fill(ReadableByteChannel channel) throws IOException {
    return buffer.fill(channel);
  }

  @Override
  public int read() {
    return buffer.read();
  }

  @Override
  public int read(ByteBuffer target, int maximumBytes) {
    return buffer.read(target, maximumBytes);
  }

  @Override
  public int read(ByteBuffer target) {
    return buffer.read(target);
  }

  @Override
  public int read(WritableByteChannel target, int maximumBytes) throws IOException {
    return buffer.read(target, maximumBytes);
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    return buffer.read(target);
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    return buffer.readLine(line, endOfStream);
  }
}
