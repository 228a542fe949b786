package dev.apricotmill.adapters;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Removes the idle timeout from each new connection.
 *
 * <p>The library keeps using the connect timeout as the connection's idle timeout. That would break
 * every response that pauses for longer, for example during the prefill of a long prompt.
 */
final class IdleTimeoutRemover implements IOSessionListener {

  @Override
  public void connected(IOSession session) {
    session.setSocketTimeout(Timeout.DISABLED);
  }

  @Override
  public void startTls(IOSession session) {}

  @Override
  public void inputReady(IOSession session) {}

  @Override
  public void outputReady(IOSession session) {}

  @Override
  public void timeout(IOSession session) {}

  @Override
  public void exception(IOSession session, Exception cause) {}

  @Override
  public void disconnected(IOSession session) {}
}
