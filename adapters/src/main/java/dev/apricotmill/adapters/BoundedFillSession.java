package dev.apricotmill.adapters;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;

/**
 * A session that does not fill the last byte of a buffer with the rest of it.
 *
 * <p>The library reads before each message and before each chunk, and doubles its buffer whenever
 * that is full, although it may hold many messages or chunks that are complete. Many small requests
 * that are sent ahead would thus grow the buffer without a bound. With one byte left free, the
 * buffer becomes full only when nothing of it could be consumed since the last read.
 */
public final class BoundedFillSession implements ProtocolIOSession {

  private final ProtocolIOSession session;

  /** Wraps the session of a connection. */
  public BoundedFillSession(ProtocolIOSession session) {
    this.session = session;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (target.remaining() <= 1) {
      return session.read(target);
    }
    int limit = target.limit();
    target.limit(limit - 1);
    try {
      return session.read(target);
    } finally {
      target.limit(limit);
    }
  }

  /** Reads as much as is there and fits. */
  int readWithoutBound(ByteBuffer target) throws IOException {
    return session.read(target);
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    return session.write(source);
  }

  @Override
  public String getId() {
    return session.getId();
  }

  @Override
  public IOEventHandler getHandler() {
    return session.getHandler();
  }

  @Override
  public void upgrade(IOEventHandler handler) {
    session.upgrade(handler);
  }

  @Override
  public Lock getLock() {
    return session.getLock();
  }

  @Override
  public void enqueue(Command command, Command.Priority priority) {
    session.enqueue(command, priority);
  }

  @Override
  public boolean hasCommands() {
    return session.hasCommands();
  }

  @Override
  public Command poll() {
    return session.poll();
  }

  @Override
  public ByteChannel channel() {
    return session.channel();
  }

  @Override
  public SocketAddress getRemoteAddress() {
    return session.getRemoteAddress();
  }

  @Override
  public SocketAddress getLocalAddress() {
    return session.getLocalAddress();
  }

  @Override
  public int getEventMask() {
    return session.getEventMask();
  }

  @Override
  public void setEventMask(int operations) {
    session.setEventMask(operations);
  }

  @Override
  public void setEvent(int operation) {
    session.setEvent(operation);
  }

  @Override
  public void clearEvent(int operation) {
    session.clearEvent(operation);
  }

  @Override
  public void close() {
    session.close();
  }

  @Override
  public void close(CloseMode mode) {
    session.close(mode);
  }

  @Override
  public Status getStatus() {
    return session.getStatus();
  }

  @Override
  public Timeout getSocketTimeout() {
    return session.getSocketTimeout();
  }

  @Override
  public void setSocketTimeout(Timeout timeout) {
    session.setSocketTimeout(timeout);
  }

  @Override
  public long getLastReadTime() {
    return session.getLastReadTime();
  }

  @Override
  public long getLastWriteTime() {
    return session.getLastWriteTime();
  }

  @Override
  public long getLastEventTime() {
    return session.getLastEventTime();
  }

  @Override
  public void updateReadTime() {
    session.updateReadTime();
  }

  @Override
  public void updateWriteTime() {
    session.updateWriteTime();
  }

  @Override
  public boolean isOpen() {
    return session.isOpen();
  }

  @Override
  public NamedEndpoint getInitialEndpoint() {
    return session.getInitialEndpoint();
  }

  @Override
  public TlsDetails getTlsDetails() {
    return session.getTlsDetails();
  }

  @Override
  public void startTls(
      SSLContext context,
      NamedEndpoint endpoint,
      SSLBufferMode bufferMode,
      SSLSessionInitializer initializer,
      SSLSessionVerifier verifier,
      Timeout handshakeTimeout) {
    session.startTls(context, endpoint, bufferMode, initializer, verifier, handshakeTimeout);
  }

  @Override
  public void startTls(
      SSLContext context,
      NamedEndpoint endpoint,
      SSLBufferMode bufferMode,
      SSLSessionInitializer initializer,
      SSLSessionVerifier verifier,
      Timeout handshakeTimeout,
      FutureCallback<TransportSecurityLayer> callback) {
    session.startTls(
        context, endpoint, bufferMode, initializer, verifier, handshakeTimeout, callback);
  }
}
