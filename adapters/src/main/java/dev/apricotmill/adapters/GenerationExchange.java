package dev.apricotmill.adapters;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.GenerationListener;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.jspecify.annotations.Nullable;

/**
 * One streamed completion. Apart from one window, bytes are read from the connection only while the
 * listener has unmet demand for chunks.
 */
final class GenerationExchange extends ClientExchange {

  private static final int MAXIMUM_EVENT_BYTES = 256 * 1024;
  private static final int MAXIMUM_REFUSAL_BYTES = 64 * 1024;

  private final ChunkDelivery delivery;
  private final CompletionStream stream;
  private final ServerSentEventDecoder decoder;
  private final Runnable cancelOnEngine;
  private final ByteArrayOutputStream refusalBody = new ByteArrayOutputStream();
  private final StreamWindow window = new StreamWindow();
  private volatile @Nullable HttpResponse head;
  private final AtomicBoolean ended = new AtomicBoolean();

  GenerationExchange(
      PeerAddress engine,
      EngineRequest request,
      GenerationListener listener,
      Runnable cancelOnEngine) {
    super(
        engine,
        HttpModelEngine.post("/v1/completions", Json.write(EngineMessages.Completion.of(request))));
    this.delivery = new ChunkDelivery(listener, window::readNext);
    this.stream = new CompletionStream(request);
    this.decoder = new ServerSentEventDecoder(MAXIMUM_EVENT_BYTES, this::onEvent);
    this.cancelOnEngine = cancelOnEngine;
  }

  /** Returns the subscription with which the listener requests chunks and cancels. */
  Flow.Subscription subscription() {
    return new Flow.Subscription() {
      @Override
      public void request(long chunks) {
        delivery.request(chunks);
      }

      @Override
      public void cancel() {
        delivery.stop();
        if (abandon()) {
          cancelOnEngine.run();
        }
      }
    };
  }

  @Override
  void onHead(HttpResponse response) {
    head = response;
  }

  @Override
  public void updateCapacity(CapacityChannel channel) {
    window.onExhausted(channel);
    if (!isStream() || ended.get() || delivery.wantsMore()) {
      window.readNext();
    }
  }

  @Override
  public void consume(ByteBuffer source) {
    if (isStream()) {
      if (!decoder.decode(source)) {
        failStream(EngineFailure.MALFORMED);
      }
      return;
    }
    byte[] bytes = new byte[source.remaining()];
    source.get(bytes);
    refusalBody.writeBytes(bytes);
    if (refusalBody.size() > MAXIMUM_REFUSAL_BYTES) {
      failStream(EngineFailure.MALFORMED);
    }
  }

  private boolean isStream() {
    HttpResponse response = head;
    return response != null && response.getCode() == 200;
  }

  /** The head of a response names no sequence. */
  @Override
  boolean allowsReuse() {
    return false;
  }

  private void onEvent(String data) {
    if (ended.get()) {
      return;
    }
    CompletionStream.Event event = stream.read(data);
    if (event instanceof CompletionStream.Event.Chunk next) {
      delivery.add(next.chunk());
    } else if (event instanceof CompletionStream.Event.End last) {
      if (last.end() instanceof GenerationEnd.Broken broken) {
        failStream(broken.failure());
      } else if (ended.compareAndSet(false, true)) {
        delivery.end(last.end());
      }
    }
  }

  /** Ends the stream as broken and cancels the sequence on the engine, which frees its memory. */
  private void failStream(EngineFailure failure) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    abandon();
    cancelOnEngine.run();
    delivery.end(new GenerationEnd.Broken(failure));
  }

  @Override
  void onComplete() {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    HttpResponse response = head;
    if (response == null || isStream()) {
      cancelOnEngine.run();
      delivery.end(new GenerationEnd.Broken(EngineFailure.CONNECTION_LOST));
      return;
    }
    GenerationEnd end = EngineRefusals.endOf(response, refusalBody.toString(UTF_8));
    if (end instanceof GenerationEnd.Broken) {
      cancelOnEngine.run();
    }
    delivery.end(end);
  }

  @Override
  void onFailure(boolean sent, ExchangeFailure failure) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    if (sent) {
      cancelOnEngine.run();
      delivery.end(new GenerationEnd.Broken(HttpModelEngine.failureOf(failure)));
    } else {
      delivery.end(new GenerationEnd.NotStarted(EngineRefusal.UNREACHABLE, Duration.ZERO));
    }
  }
}
