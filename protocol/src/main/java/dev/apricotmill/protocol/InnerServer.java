package dev.apricotmill.protocol;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** Accepts connections from other daemons and passes their requests to a {@link StreamAcceptor}. */
public final class InnerServer implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(InnerServer.class.getName());

  private final String daemonName;
  private final TransportLimits limits;
  private final TransportSecurity security;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong incompleteBytes = new AtomicLong();
  private final AtomicReference<StreamAcceptor> acceptor;
  private final Channel listener;

  /**
   * Listens at {@code address}. Requests go to {@code initialAcceptor} until {@link #setAcceptor}
   * replaces it; the caller owns the event loops.
   *
   * @throws IOException if the address cannot be bound
   */
  public InnerServer(
      String daemonName,
      InetSocketAddress address,
      TransportLimits limits,
      TransportSecurity security,
      EventLoopGroup group,
      StreamAcceptor initialAcceptor)
      throws IOException {
    this.daemonName = daemonName;
    this.limits = limits;
    this.security = security;
    acceptor = new AtomicReference<>(initialAcceptor);
    listener = bind(address, group);
  }

  /** Passes all later requests to {@code newAcceptor}. */
  public void setAcceptor(StreamAcceptor newAcceptor) {
    acceptor.set(newAcceptor);
  }

  /** Returns the address on which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Returns the bytes that are buffered for incomplete messages of all connections. */
  public long incompleteBytes() {
    return incompleteBytes.get();
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  private Channel bind(InetSocketAddress address, EventLoopGroup group) throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen at " + address, bound.cause());
    }
    return bound.channel();
  }

  private void accept(Channel channel) {
    if (connections.size() >= limits.maximumConnections()) {
      LOGGER.log(
          Level.WARNING, "inner: refused {0}: too many connections", channel.remoteAddress());
      channel.close();
      return;
    }
    connections.add(channel);
    security.protectServer(channel);
    ConnectionPipeline.build(
        channel.pipeline(),
        limits,
        new ServerConnection(
            daemonName, limits, incompleteBytes, channel.eventLoop(), acceptor::get));
  }
}
