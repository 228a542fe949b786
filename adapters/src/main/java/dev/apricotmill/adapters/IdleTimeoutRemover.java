package dev.apricotmill.adapters;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Takes the connect timeout off a connection once it stands.
 *
 * <p>The library keeps the connect timeout as the idle timeout of the connection, which would break
 * every answer that is quiet for longer, such as that to a long prompt.
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
