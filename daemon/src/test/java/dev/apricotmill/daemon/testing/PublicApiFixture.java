package dev.apricotmill.daemon.testing;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.daemon.callers.CallerHandler;
import dev.apricotmill.daemon.callers.RequestIds;
import dev.apricotmill.daemon.http.HttpListener;
import dev.apricotmill.daemon.http.ServerLimits;
import dev.apricotmill.daemon.process.SystemTiming;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/** The public HTTP API on loopback, backed by a {@link FakeNode}. */
public final class PublicApiFixture implements AutoCloseable {

  /** Small limits, so that tests exceed them with little data. */
  public static final ServerLimits LIMITS =
      new ServerLimits(
          4 << 10, 64 << 10, 128 << 10, 8, Duration.ofSeconds(20), Duration.ofSeconds(20));

  private static final long SEED = 42;

  private final FakeNode node = new FakeNode();

  private final HttpListener listener;

  private final HttpClient client = HttpClient.newHttpClient();

  private PublicApiFixture(ServerLimits limits, Timing timing) throws IOException {
    CallerHandler handler =
        new CallerHandler(
            node,
            timing.clock(),
            new RequestIds(timing.clock(), new Random(SEED)),
            Duration.ofHours(1));
    listener =
        new HttpListener(
            "test",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            limits,
            handler,
            timing,
            2);
  }

  /** Starts a listener with small limits. */
  public static PublicApiFixture start() throws IOException {
    return start(LIMITS, SystemTiming.start());
  }

  /** Starts a listener with the given limits and clocks. */
  public static PublicApiFixture start(ServerLimits limits, Timing timing) throws IOException {
    return new PublicApiFixture(limits, timing);
  }

  /** Returns the node that serves the requests. */
  public FakeNode node() {
    return node;
  }

  /** Returns the HTTP listener. */
  public HttpListener listener() {
    return listener;
  }

  /** Opens a raw connection to the listener. */
  public RawConnection connect() throws IOException {
    return RawConnection.to(listener.address());
  }

  /** Returns a builder of a request to a path. */
  public HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(
        URI.create("http://127.0.0.1:" + listener.address().getPort() + path));
  }

  /** Sends a request. */
  public CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Posts JSON to a path with a customer's API key. */
  public CompletableFuture<HttpResponse<String>> post(String path, String json) {
    return send(
        request(path)
            .header("Authorization", "Bearer secret")
            .POST(HttpRequest.BodyPublishers.ofString(json)));
  }

  @Override
  public void close() {
    listener.close();
  }
}
