package dev.apricotmill.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import org.jspecify.annotations.Nullable;

/**
 * Stops reading from a connection with too many unanswered requests, and reads on once responses
 * are written.
 *
 * <p>The library reads requests that were sent ahead without a bound. Its parser declines to return
 * a request while the pipeline is full; what was read by then is parsed when there is room.
 */
final class BackpressureEventHandler extends ServerHttp1IOEventHandler {

  private final ClientConnectionObserver observer;

  BackpressureEventHandler(ServerHttp1StreamDuplexer duplexer, ClientConnectionObserver observer) {
    super(duplexer);
    this.observer = observer;
  }

  @Override
  public void inputReady(IOSession session, @Nullable ByteBuffer source) throws IOException {
    if (!observer.isPaused()) {
      super.inputReady(session, source);
    }
    if (observer.isPaused()) {
      session.clearEvent(EventMask.READ);
    }
  }

  @Override
  public void outputReady(IOSession session) throws IOException {
    super.outputReady(session);
    if (observer.resume()) {
      session.setEvent(EventMask.READ);
      inputReady(session, null);
    }
  }
}
