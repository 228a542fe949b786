package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;

/** An exchange whose answer is handed on as it comes. */
public final class StreamedExchange extends ClientExchange {

  private final StreamedListener listener;

  StreamedExchange(PeerAddress peer, HttpCall call, StreamedListener listener) {
    super(peer, call);
    this.listener = listener;
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
  public void updateCapacity(CapacityChannel channel) throws IOException {
    channel.update(Integer.MAX_VALUE);
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
