package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;

/** An exchange whose response is passed to a listener as it arrives. */
public final class StreamedExchange extends ClientExchange {

  private final StreamedResponseListener listener;
  private final StreamWindow window = new StreamWindow();
  private volatile boolean readingPaused;
  private boolean rejected;

  StreamedExchange(PeerAddress peer, HttpCall call, StreamedResponseListener listener) {
    super(peer, call);
    this.listener = listener;
  }

  /** Stops reading the response, apart from the current window, until {@link #resumeReading}. */
  public void pauseReading() {
    readingPaused = true;
  }

  /** Continues reading after {@link #pauseReading}. */
  public void resumeReading() {
    readingPaused = false;
    window.readNext();
  }

  /** Ends the exchange and closes its connection, without a call to the listener. */
  public void close() {
    abandon();
  }

  @Override
  void onHead(HttpResponse head) {
    if (!listener.onHead(head)) {
      rejected = true;
      close();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) {
    window.onExhausted(channel);
    if (!readingPaused) {
      window.readNext();
    }
  }

  @Override
  public void consume(ByteBuffer source) {
    byte[] chunk = new byte[source.remaining()];
    source.get(chunk);
    // What came with a rejected head is read in the same pass.
    if (!rejected) {
      listener.onBody(chunk);
    }
  }

  @Override
  void onComplete() {
    listener.onComplete();
  }

  @Override
  void onFailure(boolean sent, ExchangeFailure failure) {
    listener.onFailure(sent, failure);
  }
}
