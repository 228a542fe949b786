package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;

/** An exchange whose answer is handed on as it comes. */
public final class StreamedExchange extends ClientExchange {

  private final StreamedListener listener;
  private final StreamWindow window = new StreamWindow();
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
    window.readOn();
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
    window.onExhausted(channel);
    if (!held) {
      window.readOn();
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
