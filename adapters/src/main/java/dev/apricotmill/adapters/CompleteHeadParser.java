package dev.apricotmill.adapters;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.NHttpMessageParserFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * A parser of HTTP/1.1 messages that bounds the size of a head, with the interim responses before
 * it, and does not take a head as complete because its connection ended.
 *
 * <p>The library's parser does, so that a message that is broken off within its head would become a
 * shorter one: without the headers that frame its body, for example. It bounds each line and the
 * number of lines, but not all of them together.
 *
 * @param <T> the kind of messages
 */
public final class CompleteHeadParser<T extends MessageHeaders> implements NHttpMessageParser<T> {

  private final NHttpMessageParser<T> parser;
  private final int maximumBytes;
  private long consumedBytes;

  private CompleteHeadParser(NHttpMessageParser<T> parser, int maximumBytes) {
    this.parser = parser;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Returns a factory of parsers that each guard one of {@code parsers}.
   *
   * @param maximumBytes the maximum size of a head
   */
  public static <T extends MessageHeaders> NHttpMessageParserFactory<T> factory(
      NHttpMessageParserFactory<T> parsers, int maximumBytes) {
    return () -> new CompleteHeadParser<>(parsers.create(), maximumBytes);
  }

  @Override
  public void reset() {
    parser.reset();
  }

  @Override
  public @Nullable T parse(SessionInputBuffer buffer, boolean endOfStream)
      throws IOException, HttpException {
    int bufferedBefore = buffer.length();
    @Nullable T head = parser.parse(buffer, false);
    consumedBytes += bufferedBefore - buffer.length();
    if (consumedBytes > maximumBytes) {
      throw new MessageConstraintException("head of more than " + maximumBytes + " bytes");
    }
    if (head != null && !isInterim(head)) {
      consumedBytes = 0;
    }
    if (head == null && endOfStream && buffer.hasData()) {
      throw new ConnectionClosedException("connection closed within the head of a message");
    }
    return head;
  }

  private static boolean isInterim(MessageHeaders head) {
    return head instanceof HttpResponse response && response.getCode() < HttpStatus.SC_OK;
  }
}
