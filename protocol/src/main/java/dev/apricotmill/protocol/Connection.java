package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Frame;
import dev.apricotmill.protocol.generated.Hello;
import dev.apricotmill.protocol.generated.KeepAlive;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** The part common to both sides of a connection: hello, keep-alives, and closing on any fault. */
abstract class Connection extends SimpleChannelInboundHandler<Frame> {

  private static final Logger LOGGER = System.getLogger(Connection.class.getName());
  private static final int MAXIMUM_LOGGED_CHARACTERS = 200;
  private static final Frame KEEP_ALIVE =
      Frame.newBuilder().setKeepAlive(KeepAlive.getDefaultInstance()).build();

  private final String daemonName;
  private final TransportLimits limits;
  private final MessageAssembly assembly;
  private @Nullable ChannelHandlerContext context;
  private @Nullable FragmentQueue outgoing;
  private boolean helloReceived;
  private boolean faultLogged;

  Connection(String daemonName, TransportLimits limits, AtomicLong incompleteBytes) {
    this.daemonName = daemonName;
    this.limits = limits;
    assembly = new MessageAssembly(limits, incompleteBytes);
  }

  /** Called once the peer's hello has been accepted. */
  abstract void onHelloReceived();

  /** Handles a frame that belongs to a stream. */
  abstract void onFrame(Frame frame) throws IOException;

  /** Called when the connection has been closed. */
  abstract void onClosed();

  final TransportLimits limits() {
    return limits;
  }

  final MessageAssembly assembly() {
    return assembly;
  }

  final boolean helloReceived() {
    return helloReceived;
  }

  final FragmentQueue outgoing() {
    if (outgoing == null) {
      throw new IllegalStateException("connection is not active");
    }
    return outgoing;
  }

  final void write(Frame.Builder frame) {
    if (context != null) {
      context.writeAndFlush(frame.build(), context.voidPromise());
    }
  }

  final void close() {
    if (context != null) {
      context.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    context = handlerContext;
    outgoing = new FragmentQueue(handlerContext.channel(), limits);
    write(
        Frame.newBuilder()
            .setHello(
                Hello.newBuilder()
                    .setVersion(ProtocolVersion.CURRENT)
                    .setDaemon(daemonName)
                    .build()));
    handlerContext
        .executor()
        .schedule(this::closeIfNoHello, limits.connectTimeout().toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, Frame frame)
      throws IOException {
    if (!helloReceived) {
      handleHello(frame);
    } else if (!frame.hasKeepAlive()) {
      onFrame(frame);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    outgoing().writePending();
    handlerContext.fireChannelWritabilityChanged();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        LOGGER.log(
            Level.WARNING,
            "inner: closed connection with {0}: read idle timeout",
            handlerContext.channel().remoteAddress());
        handlerContext.close();
      } else if (handlerContext.channel().isWritable()) {
        handlerContext.writeAndFlush(KEEP_ALIVE, handlerContext.voidPromise());
      }
      return;
    }
    if (event instanceof SslHandshakeCompletionEvent handshake && !handshake.isSuccess()) {
      closeOnFault(
          handlerContext,
          "tls: handshake with {0} failed, closing the connection: {1}",
          handshake.cause());
      return;
    }
    handlerContext.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    assembly.discardAll();
    onClosed();
    handlerContext.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    closeOnFault(handlerContext, "inner: closed connection with {0}: {1}", cause);
  }

  /** Closes the connection; logs only the first fault, since later ones are its consequences. */
  private void closeOnFault(
      ChannelHandlerContext handlerContext, String logFormat, Throwable cause) {
    if (!faultLogged) {
      faultLogged = true;
      String text = String.valueOf(cause.getMessage());
      LOGGER.log(
          Level.WARNING,
          logFormat,
          handlerContext.channel().remoteAddress(),
          text.substring(0, Math.min(text.length(), MAXIMUM_LOGGED_CHARACTERS)));
    }
    handlerContext.close();
  }

  private void handleHello(Frame frame) throws ProtocolViolationException {
    if (!frame.hasHello()) {
      throw new ProtocolViolationException(
          "expected hello as first frame, got " + frame.getBodyCase().name());
    }
    Hello hello = frame.getHello();
    if (hello.getVersion() != ProtocolVersion.CURRENT) {
      throw new ProtocolViolationException(
          "expected protocol version "
              + ProtocolVersion.CURRENT
              + ", got "
              + Integer.toUnsignedString(hello.getVersion()));
    }
    helloReceived = true;
    onHelloReceived();
  }

  private void closeIfNoHello() {
    if (!helloReceived) {
      close();
    }
  }
}
