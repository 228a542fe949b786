package dev.apricotmill.adapters;

import com.google.common.base.Ticker;
import com.google.common.io.Closer;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.testhelpers.http.RawServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** System clock and HTTP client of one test; client timeouts expire only on request. */
final class AdapterFixture implements AutoCloseable {

  /** Bounds the wait of a test that fails; longer than any passing test takes. */
  static final Duration TEST_TIMEOUT = Duration.ofSeconds(10);

  private final Closer closer = Closer.create();
  private final ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(2);
  private final Timing timing =
      new Timing(InstantSource.system(), Ticker.systemTicker(), scheduler);
  private final ManualTimeouts timeouts = new ManualTimeouts();
  private final HttpClients clients =
      HttpClients.start(new Timing(timing.clock(), timing.ticker(), timeouts));

  AdapterFixture() {
    closer.register(scheduler::shutdownNow);
    closer.register(timeouts::shutdownNow);
    closer.register(clients::close);
  }

  Timing timing() {
    return timing;
  }

  HttpClients clients() {
    return clients;
  }

  /** Waits until a call has reached the server, then expires its timeout at the client. */
  void expireTimeoutsOnce(BooleanSupplier callReachedServer) throws TimeoutException {
    awaitUntil(callReachedServer);
    timeouts.expireAll();
  }

  void closeAtEnd(Closeable resource) {
    closer.register(resource);
  }

  /** Starts a server that responds with these bytes on its first connection only. */
  PeerAddress serve(List<String> onlyConnection) throws IOException {
    return serve(onlyConnection, List.of()).address();
  }

  /** Starts a server that responds with these bytes, one entry for each request. */
  RawServer serve(List<String> firstConnection, List<String> others) throws IOException {
    RawServer server = RawServer.start(firstConnection, others);
    closeAtEnd(server::close);
    return server;
  }

  static Replica replicaAt(PeerAddress address) {
    return new Replica(new ReplicaId("replica"), new Zone("one"), address, "machine");
  }

  /** Returns an address at which no process listens. */
  static PeerAddress unusedAddress() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new PeerAddress(loopback.getHostAddress(), socket.getLocalPort());
    }
  }

  static <T> T await(CompletionStage<T> stage)
      throws ExecutionException, InterruptedException, TimeoutException {
    return stage.toCompletableFuture().get(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  static void awaitUntil(BooleanSupplier condition) throws TimeoutException {
    long deadline = System.nanoTime() + TEST_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        throw new TimeoutException("condition not met within " + TEST_TIMEOUT);
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }
}
