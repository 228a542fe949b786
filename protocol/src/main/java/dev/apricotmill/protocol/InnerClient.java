package dev.apricotmill.protocol;

import dev.apricotmill.protocol.generated.Request;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Opens streams to other daemons over one connection per peer, which is opened on demand and
 * reopened after it is lost. Thread-safe; the caller owns the event loops.
 */
public final class InnerClient implements AutoCloseable {

  private final String daemonName;
  private final TransportLimits limits;
  private final TransportSecurity security;
  private final EventLoopGroup group;
  private final AtomicLong incompleteBytes = new AtomicLong();
  private final ConcurrentHashMap<InetSocketAddress, ClientConnection> connections =
      new ConcurrentHashMap<>();

  /** Creates a client that sends {@code daemonName} in its hello. */
  public InnerClient(
      String daemonName, TransportLimits limits, TransportSecurity security, EventLoopGroup group) {
    this.daemonName = daemonName;
    this.limits = limits;
    this.security = security;
    this.group = group;
  }

  /** Sends a request to {@code peer} on a new stream. */
  public ClientStream open(InetSocketAddress peer, Request request, ResponseListener listener) {
    return connections.computeIfAbsent(peer, this::connect).open(request, listener);
  }

  @Override
  public void close() {
    connections.values().forEach(ClientConnection::close);
    connections.clear();
  }

  private ClientConnection connect(InetSocketAddress peer) {
    EventLoop loop = group.next();
    ClientConnection[] self = new ClientConnection[1];
    ClientConnection connection =
        new ClientConnection(
            daemonName, limits, incompleteBytes, loop, () -> connections.remove(peer, self[0]));
    self[0] = connection;
    loop.execute(() -> startConnecting(peer, loop, connection));
    return connection;
  }

  private void startConnecting(
      InetSocketAddress peer, EventLoop loop, ClientConnection connection) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) limits.connectTimeout().toMillis())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                security.protectClient(channel, peer);
                ConnectionPipeline.build(channel.pipeline(), limits, connection);
              }
            })
        .connect(peer)
        .addListener(
            (ChannelFutureListener)
                connected -> {
                  if (!connected.isSuccess()) {
                    connection.connectFailed();
                  }
                });
  }
}
