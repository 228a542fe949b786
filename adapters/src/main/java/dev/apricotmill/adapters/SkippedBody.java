package dev.apricotmill.adapters;

import com.google.common.primitives.Longs;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.Optional;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.LengthDelimitedDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * The body of a response that is read and dropped.
 *
 * <p>A body that was cut short would be completed by the next response, so a status line within it
 * ends the connection.
 */
final class SkippedBody {

  /** A longer rest is not worth the connection. */
  private static final int MAXIMUM_BYTES = 64 << 10;

  private static final int READ_BYTES = 4 << 10;

  private final ContentDecoder decoder;
  private final StatusLineScanner scanner;

  private SkippedBody(ContentDecoder decoder, StatusLineScanner scanner) {
    this.decoder = decoder;
    this.scanner = scanner;
  }

  /**
   * Returns the body of a response; empty if it is too long, or does not tell its end.
   *
   * @param buffer what was read of the connection and follows the head
   */
  static Optional<SkippedBody> of(HttpResponse response, SessionInputBuffer buffer) {
    int lengths = response.countHeaders(HttpHeaders.CONTENT_LENGTH);
    int encodings = response.countHeaders(HttpHeaders.TRANSFER_ENCODING);
    if (lengths + encodings != 1) {
      return Optional.empty();
    }
    BasicHttpTransportMetrics metrics = new BasicHttpTransportMetrics();
    StatusLineScanner scanner = new StatusLineScanner(buffer);
    if (encodings == 1) {
      return HeaderElements.CHUNKED_ENCODING.equalsIgnoreCase(
              response.getFirstHeader(HttpHeaders.TRANSFER_ENCODING).getValue())
          ? Optional.of(
              new SkippedBody(
                  new ChunkDecoder(
                      BufferedOnly.INSTANCE,
                      new LineCheckingBuffer(scanner, new ChunkLines()),
                      metrics),
                  scanner))
          : Optional.empty();
    }
    @Nullable Long length =
        Longs.tryParse(response.getFirstHeader(HttpHeaders.CONTENT_LENGTH).getValue());
    return length == null || length < 0 || length > MAXIMUM_BYTES
        ? Optional.empty()
        : Optional.of(
            new SkippedBody(
                new LengthDelimitedDecoder(BufferedOnly.INSTANCE, scanner, metrics, length),
                scanner));
  }

  /** Drops what is buffered of the body; returns whether that was the end of it. */
  boolean skip(boolean endOfStream) throws IOException, HttpException {
    ByteBuffer dropped = ByteBuffer.allocate(READ_BYTES);
    while (!decoder.isCompleted() && decoder.read(dropped.clear()) > 0) {
      // Each pass drops a part of the body.
    }
    if (scanner.hasFoundStatusLine()) {
      throw new ProtocolException("a response within a late response");
    }
    if (scanner.scannedBytes() > MAXIMUM_BYTES) {
      throw new MessageConstraintException("late response of more than " + MAXIMUM_BYTES);
    }
    if (endOfStream && !decoder.isCompleted()) {
      throw new ConnectionClosedException("connection closed within a late response");
    }
    return decoder.isCompleted();
  }

  /** A channel without bytes, since the connection itself reads into the buffer. */
  private enum BufferedOnly implements ReadableByteChannel {
    INSTANCE;

    @Override
    public int read(ByteBuffer target) {
      return 0;
    }

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void close() {}
  }
}
