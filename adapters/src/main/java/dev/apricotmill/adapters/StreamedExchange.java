package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.jspecify.annotations.Nullable;

/** An exchange whose answer is handed on as it comes. */
public final class StreamedExchange extends ClientExchange {

  private final StreamedListener listener;
  private final AtomicReference<@Nullable CapacityChannel> waiting = new AtomicReference<>();
  private volatile boolean held;

  StreamedExchange(PeerAddress peer, HttpCall call, StreamedListener listener) {
    super(peer, call);
    this.listener = listener;
  }

  /** Reads no more than the client's window of the answer, until {@link #resume}. */
  public void hold() {
    held = true;
  }

  /** Reads on after {@link #hold}. */
  public void resume() {
    held = false;
    offerCapacity();
  }

  /** Closes the connection; nothing is reported any more. */
  public void close() {
    abandon();
  }

  @Override
  void onHead(HttpResponse head) {
    listener.onHead(head);
  }

  @Override
  public void updateCapacity(CapacityChannel channel) {
    waiting.set(channel);
    if (!held) {
      offerCapacity();
    }
  }

  private void offerCapacity() {
    CapacityChannel channel = waiting.getAndSet(null);
    if (channel == null) {
      return;
    }
    try {
      channel.update(HttpClients.STREAM_WINDOW_BYTES);
    } catch (IOException e) {
      abort(ExchangeFailure.CONNECTION_LOST);
    }
  }

  @Override
  public void consume(ByteBuffer source) {
    byte[] piece = new byte[source.remaining()];
    source.get(piece);
    listener.onBody(piece);
  }

  @Override
  void onWhole() {
    listener.onWhole();
  }

  @Override
  void onFailure(boolean sent, ExchangeFailure failure) {
    listener.onFailure(sent, failure);
  }
}
