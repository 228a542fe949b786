package dev.apricotmill.testhelpers.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.testhelpers.fault.Fault;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseProducer;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/** Writes a whole answer, or stops or breaks the connection in the middle of it. */
final class WholeAnswerProducer implements AsyncResponseProducer {

  /** What follows the last byte of the body. */
  private enum Ending {
    WHOLE,
    BROKEN,
    STALLED
  }

  private static final int OVERSIZE_BYTES = 40 << 20;

  private final StandInAnswer answer;
  private final ByteBuffer body;
  private final long declaredLength;
  private final Ending ending;
  private boolean begun;

  private WholeAnswerProducer(
      StandInAnswer answer, byte[] body, long declaredLength, Ending ending) {
    this.answer = answer;
    this.body = ByteBuffer.wrap(body);
    this.declaredLength = declaredLength;
    this.ending = ending;
  }

  static WholeAnswerProducer of(StandInAnswer answer, Fault fault) {
    byte[] whole = answer.body();
    return switch (fault) {
      case CUT, TRUNCATED -> half(answer, Ending.BROKEN);
      case FROZEN -> half(answer, Ending.STALLED);
      case MALFORMED -> exact(answer, "{\"malformed".getBytes(UTF_8));
      case OVERSIZE -> exact(answer, new byte[OVERSIZE_BYTES]);
      default -> exact(answer, whole);
    };
  }

  private static WholeAnswerProducer half(StandInAnswer answer, Ending ending) {
    byte[] whole = answer.body();
    byte[] half = Arrays.copyOf(whole, whole.length / 2);
    return new WholeAnswerProducer(answer, half, whole.length + 1L, ending);
  }

  private static WholeAnswerProducer exact(StandInAnswer answer, byte[] body) {
    return new WholeAnswerProducer(answer, body, body.length, Ending.WHOLE);
  }

  @Override
  public void sendResponse(ResponseChannel channel, HttpContext context)
      throws HttpException, IOException {
    BasicHttpResponse head = new BasicHttpResponse(answer.status());
    answer.headers().forEach(head::setHeader);
    EntityDetails details =
        declaredLength == 0 ? null : new BasicEntityDetails(declaredLength, null);
    channel.sendResponse(head, details, context);
  }

  @Override
  public int available() {
    return ending == Ending.BROKEN ? Math.max(1, body.remaining()) : body.remaining();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    if (!begun) {
      // The first call is made by the submitting thread; a break has to come from the I/O thread.
      begun = true;
      channel.requestOutput();
      return;
    }
    channel.write(body);
    if (body.hasRemaining()) {
      return;
    }
    if (ending == Ending.BROKEN) {
      throw new IOException("the connection is broken on purpose");
    }
    if (ending == Ending.WHOLE) {
      channel.endStream();
    }
  }

  @Override
  public void failed(Exception cause) {}

  @Override
  public void releaseResources() {}
}
