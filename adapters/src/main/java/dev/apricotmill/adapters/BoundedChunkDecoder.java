package dev.apricotmill.adapters;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * A decoder of bodies that bounds what it reads without delivering any of the body: sizes of chunks
 * with their extensions, and trailers. It also bounds what is read of one connection in a turn.
 *
 * <p>The library bounds each line and the number of lines, but not all of them together, and it
 * reads a connection for as long as more has arrived there.
 */
public final class BoundedChunkDecoder implements ContentDecoder {

  /** A chunk of one byte takes six bytes; anything beyond that is not a proportion of the body. */
  private static final int MAXIMUM_FRAMING_PER_BODY_BYTE = 16;

  /** What an I/O thread may read of one connection before it turns to the others. */
  private static final int MAXIMUM_TURN_BYTES = 64 << 10;

  private final ContentDecoder decoder;
  private final SessionInputBuffer input;
  private final CountingChannel channel;
  private final int maximumBytes;
  private long bytesWithoutBody;

  private BoundedChunkDecoder(
      ContentDecoder decoder, SessionInputBuffer input, CountingChannel channel, int maximumBytes) {
    this.decoder = decoder;
    this.input = input;
    this.channel = channel;
    this.maximumBytes = maximumBytes;
  }

  /** Creates a decoder of the library for a channel. */
  @FunctionalInterface
  public interface DecoderFactory {
    /** Returns the decoder; null if the message has no body. */
    @Nullable ContentDecoder create(ReadableByteChannel channel) throws HttpException;
  }

  /**
   * Creates a decoder that bounds one of the library.
   *
   * @param source the channel of the connection
   * @param input what was read of the channel already
   * @param maximumBytes the bytes that may be read without any of the body
   */
  public static @Nullable ContentDecoder bound(
      ReadableByteChannel source,
      SessionInputBuffer input,
      int maximumBytes,
      DecoderFactory decoders)
      throws HttpException {
    CountingChannel channel = new CountingChannel(source);
    ContentDecoder decoder = decoders.create(channel);
    channel.hideEnd(decoder instanceof ChunkDecoder);
    return decoder == null ? null : new BoundedChunkDecoder(decoder, input, channel, maximumBytes);
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int bufferedBefore = input.length();
    channel.startRead(maximumBytes, target);
    int bodyBytes = decoder.read(target);
    if (bodyBytes <= 0) {
      channel.startTurn();
    }
    long framingBytes =
        bufferedBefore
            + channel.bytesRead()
            - input.length()
            - (long) MAXIMUM_FRAMING_PER_BODY_BYTE * Math.max(0, bodyBytes);
    if (channel.hasHiddenEnd() && bodyBytes <= 0 && !decoder.isCompleted()) {
      throw new ConnectionClosedException("connection closed before the end of the last chunk");
    }
    bytesWithoutBody = Math.max(0, framingBytes) + (bodyBytes > 0 ? 0 : bytesWithoutBody);
    if (bytesWithoutBody > maximumBytes) {
      throw new MessageConstraintException(
          "more than " + maximumBytes + " bytes without any of the body");
    }
    return bodyBytes;
  }

  @Override
  public boolean isCompleted() {
    return decoder.isCompleted();
  }

  @Override
  public @Nullable List<? extends Header> getTrailers() {
    return decoder.getTrailers();
  }

  /**
   * Counts the bytes of one read, and provides no more of them than the maximum.
   *
   * <p>The end of the channel can be hidden from the decoder of chunks, which would take a size
   * that was cut off, such as the first digit of {@code 0010}, for that of the last chunk.
   */
  private static final class CountingChannel implements ReadableByteChannel {

    private final ReadableByteChannel channel;
    private @Nullable ByteBuffer content;
    private int maximumBytes;
    private int bytesRead;
    private long turnBytes;
    private boolean hidesEnd;
    private boolean hasHiddenEnd;

    CountingChannel(ReadableByteChannel channel) {
      this.channel = channel;
    }

    void startRead(int newMaximumBytes, ByteBuffer newContent) {
      maximumBytes = newMaximumBytes;
      content = newContent;
      bytesRead = 0;
    }

    /**
     * Begins the next turn of the connection. A turn ends once the decoder, which is given no more,
     * has consumed all that was read before, so that nothing is left for which no event would come.
     */
    void startTurn() {
      turnBytes = 0;
    }

    void hideEnd(boolean hide) {
      hidesEnd = hide;
    }

    /** Returns whether the end was reached and hidden. */
    boolean hasHiddenEnd() {
      return hasHiddenEnd;
    }

    /** Returns the bytes since {@link #startRead}. */
    int bytesRead() {
      return bytesRead;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
      if (bytesRead >= maximumBytes || turnBytes >= MAXIMUM_TURN_BYTES) {
        return 0;
      }
      // What is read as content is consumed at once, so that its buffer may become full.
      int count =
          isSame(target, content) && channel instanceof BoundedFillSession session
              ? session.readWithoutBound(target)
              : channel.read(target);
      bytesRead += Math.max(0, count);
      turnBytes += Math.max(0, count);
      if (count < 0 && hidesEnd) {
        hasHiddenEnd = true;
        return 0;
      }
      return count;
    }

    @SuppressWarnings("ReferenceEquality")
    private static boolean isSame(ByteBuffer target, @Nullable ByteBuffer content) {
      return target == content;
    }

    @Override
    public boolean isOpen() {
      return channel.isOpen();
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
