package dev.apricotmill.testhelpers.http;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.nio.AsyncRequestConsumer;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.BasicRequestConsumer;
import org.apache.hc.core5.http.nio.support.BasicServerExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;

/** The HTTP server of a stand-in, on the loopback address. */
public final class StandInHttpServer implements AutoCloseable {

  private static final byte[] NO_BODY = {};

  private final HttpAsyncServer server;
  private final PeerAddress address;

  private StandInHttpServer(HttpAsyncServer server, PeerAddress address) {
    this.server = server;
    this.address = address;
  }

  /** Starts a server on a port of the loopback address, zero for any. */
  public static StandInHttpServer start(int port, StandInHandler handler) throws IOException {
    RequestAdapter adapter = new RequestAdapter(handler);
    HttpAsyncServer server =
        AsyncServerBootstrap.bootstrap()
            .setIOReactorConfig(
                IOReactorConfig.custom()
                    .setIoThreadCount(2)
                    .setTcpNoDelay(true)
                    .setSoReuseAddress(true)
                    .build())
            .setRequestRouter((request, context) -> () -> new BasicServerExchangeHandler<>(adapter))
            .create();
    server.start();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try {
      ListenerEndpoint endpoint =
          server.listen(new InetSocketAddress(loopback, port), URIScheme.HTTP).get();
      int boundPort = ((InetSocketAddress) endpoint.getAddress()).getPort();
      return new StandInHttpServer(server, new PeerAddress(loopback.getHostAddress(), boundPort));
    } catch (ExecutionException failure) {
      server.close(CloseMode.IMMEDIATE);
      throw new IOException("cannot listen on port " + port, failure.getCause());
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
      server.close(CloseMode.IMMEDIATE);
      throw new IOException("interrupted while starting to listen", interruption);
    }
  }

  /** Returns where the server listens. */
  public PeerAddress address() {
    return address;
  }

  @Override
  public void close() {
    server.close(CloseMode.IMMEDIATE);
  }

  /** Gathers the body of each request and passes it on. */
  private record RequestAdapter(StandInHandler handler)
      implements AsyncServerRequestHandler<Message<HttpRequest, byte[]>> {

    @Override
    public AsyncRequestConsumer<Message<HttpRequest, byte[]>> prepare(
        HttpRequest request, EntityDetails details, HttpContext context) {
      return new BasicRequestConsumer<>(details == null ? null : new BasicAsyncEntityConsumer());
    }

    @Override
    public void handle(
        Message<HttpRequest, byte[]> message, ResponseTrigger trigger, HttpContext context) {
      byte[] body = message.getBody() == null ? NO_BODY : message.getBody();
      handler.handle(
          StandInRequest.of(message.getHead(), body), new StandInReply(trigger, context));
    }
  }
}
