package dev.apricotmill.testhelpers.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseProducer;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/** A stream of server-sent events to one caller. Safe for use by several threads. */
public final class EventStream implements AsyncResponseProducer {

  private enum End {
    OPEN,
    ENDED,
    BROKEN
  }

  private final Deque<ByteBuffer> queue = new ArrayDeque<>();
  private Optional<DataStreamChannel> channel = Optional.empty();
  private End end = End.OPEN;

  /** Sends one event. */
  public void send(String data) {
    write("data: " + data + "\n\n");
  }

  /** Sends bytes as they are. */
  public synchronized void write(String text) {
    if (end == End.OPEN) {
      queue.add(ByteBuffer.wrap(text.getBytes(UTF_8)));
      wake();
    }
  }

  /** Ends the answer after the events sent so far. */
  public synchronized void end() {
    if (end == End.OPEN) {
      end = End.ENDED;
      wake();
    }
  }

  /** Breaks the connection after the events sent so far. */
  public synchronized void breakOff() {
    if (end == End.OPEN) {
      end = End.BROKEN;
      wake();
    }
  }

  private void wake() {
    channel.ifPresent(DataStreamChannel::requestOutput);
  }

  @Override
  public void sendResponse(ResponseChannel responseChannel, HttpContext context)
      throws HttpException, IOException {
    HttpResponse head = new BasicHttpResponse(200);
    responseChannel.sendResponse(
        head, new BasicEntityDetails(-1, ContentType.TEXT_EVENT_STREAM), context);
  }

  @Override
  public synchronized int available() {
    return queue.isEmpty() && end == End.OPEN ? 0 : 1;
  }

  @Override
  public synchronized void produce(DataStreamChannel newChannel) throws IOException {
    if (channel.isEmpty()) {
      // The first call is made by the submitting thread; a break has to come from the I/O thread.
      channel = Optional.of(newChannel);
      newChannel.requestOutput();
      return;
    }
    while (!queue.isEmpty()) {
      newChannel.write(queue.peek());
      if (queue.peek().hasRemaining()) {
        return;
      }
      queue.remove();
    }
    if (end == End.BROKEN) {
      throw new IOException("the connection is broken on purpose");
    }
    if (end == End.ENDED) {
      newChannel.endStream();
    }
  }

  @Override
  public void failed(Exception cause) {
    releaseResources();
  }

  @Override
  public synchronized void releaseResources() {
    queue.clear();
    end = End.ENDED;
  }
}
