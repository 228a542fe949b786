package dev.apricotmill.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.daemon.testing.Eventually;
import dev.apricotmill.daemon.testing.ManualScheduler;
import dev.apricotmill.daemon.testing.RawConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against clients that take more memory of the process than it has for all of them. */
@Timeout(60)
final class CallerMemoryTest {

  private static final ServerLimits LIMITS =
      new ServerLimits(
          16 << 10, 1 << 20, 8 << 20, 8, Duration.ofSeconds(3), Duration.ofSeconds(60));

  private final ManualScheduler time = new ManualScheduler();
  private final List<ClientLimit> reached = new CopyOnWriteArrayList<>();
  private final LinkedBlockingQueue<ResponseSender> requests = new LinkedBlockingQueue<>();
  private final AtomicInteger requestCount = new AtomicInteger();
  private final CallerMemory memory = new CallerMemory(1 << 20, reached::add);
  private final HttpListener listener;

  CallerMemoryTest() throws Exception {
    RequestHandler handler =
        new RequestHandler() {
          @Override
          public void handle(IncomingRequest request, ResponseSender sender) {
            requestCount.incrementAndGet();
            requests.add(sender);
          }

          @Override
          public CompleteResponse refuse(EarlyRefusal refusal) {
            return CompleteResponse.text(refusal.status(), "text/plain", refusal.detail());
          }
        };
    listener =
        new HttpListener(
            "test",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            LIMITS,
            memory,
            handler,
            time.timing(),
            1);
  }

  @AfterEach
  void stop() {
    listener.close();
    time.shutdownNow();
  }

  @Test
  void requestsThatAreSentAheadWaitUntilEarlierOnesAreAnsweredAndAllAreAnsweredInOrder()
      throws Exception {
    try (RawConnection connection = RawConnection.to(listener.address())) {
      connection.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n".repeat(500));
      Eventually.holds(() -> requestCount.get() == CallerMemory.MAX_UNANSWERED_REQUESTS);
      for (int i = 0; i < 500; i++) {
        assertThat(requestCount.get()).isAtMost(i + CallerMemory.MAX_UNANSWERED_REQUESTS);
        requests.take().send(CompleteResponse.text(200, "text/plain", "<" + i + ">"));
        assertThat(connection.readUntil(">")).endsWith("<" + i + ">");
      }
    }
    Eventually.holds(() -> memory.heldBytes() == 0);
  }

  @Test
  void aBodyOfTheLastRequestThatIsReadAheadIsStillReceived() throws Exception {
    try (RawConnection connection = RawConnection.to(listener.address())) {
      connection.send(
          "GET /x HTTP/1.1\r\nhost: a\r\n\r\n".repeat(CallerMemory.MAX_UNANSWERED_REQUESTS - 1)
              + "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n");
      connection.send("b".repeat(100_000));
      Eventually.holds(() -> requestCount.get() == CallerMemory.MAX_UNANSWERED_REQUESTS);
    }
  }

  @Test
  void anUnfinishedHeadIsClosedWithItsConnectionAfterTheTimeLimit() throws Exception {
    try (RawConnection connection = RawConnection.to(listener.address())) {
      connection.send("GET /x HTTP/1.1\r\nlong: " + "v".repeat(10_000));
      Eventually.holds(() -> memory.heldBytes() > CallerMemory.CONNECTION_BYTES + 10_000);
      time.advance(LIMITS.readTimeout().multipliedBy(2));
      assertThat(connection.isClosedByPeer()).isTrue();
    }
    Eventually.holds(() -> memory.heldBytes() == 0);
    assertThat(reached).containsExactly(ClientLimit.HEAD_TIMEOUT);
  }

  /** Guards against idle connections that keep out all other clients. */
  @Test
  void anIdleConnectionMakesRoomForANewOneWhenThereIsNoMoreRoom() throws Exception {
    List<RawConnection> idle = new ArrayList<>();
    for (int i = 0; i < LIMITS.maximumConnections(); i++) {
      idle.add(RawConnection.to(listener.address()));
    }
    Eventually.holds(() -> listener.connectionCount() == LIMITS.maximumConnections());
    time.advance(Duration.ofSeconds(1));

    try (RawConnection connection = RawConnection.to(listener.address())) {
      connection.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
      requests.take().send(CompleteResponse.text(200, "text/plain", "served"));
      assertThat(connection.readUntil("served")).startsWith("HTTP/1.1 200");
    }
    assertThat(reached).containsExactly(ClientLimit.CONNECTIONS);
    for (RawConnection connection : idle) {
      connection.close();
    }
  }

  /** Guards against responses, each of legal size, that nobody reads. */
  @Test
  void responsesThatNobodyReadsDoNotOutgrowTheBudget() throws Exception {
    List<RawConnection> silent = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      RawConnection connection = RawConnection.to(listener.address());
      silent.add(connection);
      connection.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
      ResponseStream stream = requests.take().startStream(200, ImmutableMap.of());
      for (int chunk = 0; chunk < 200; chunk++) {
        stream.write(new byte[32 << 10]);
        assertThat(memory.heldBytes()).isAtMost(memory.maximumBytes());
      }
    }
    assertThat(reached).contains(ClientLimit.MEMORY);
    for (RawConnection connection : silent) {
      connection.close();
    }
    Eventually.holds(() -> memory.heldBytes() == 0);
  }

  @Test
  void aLargeUnfinishedBodyGivesWayToASmallerOne() {
    BufferBudget budget = new BufferBudget(100_000);
    List<String> revoked = new ArrayList<>();
    RequestBody large =
        new RequestBody(1 << 20, new BufferBudget(1 << 20), budget, () -> revoked.add("large"));
    RequestBody small =
        new RequestBody(1 << 20, new BufferBudget(1 << 20), budget, () -> revoked.add("small"));
    assertThat(large.add(ByteBuffer.allocate(90_000))).isEqualTo(Optional.empty());
    assertThat(small.add(ByteBuffer.allocate(40_000))).isEqualTo(Optional.empty());
    assertThat(revoked).containsExactly("large");
  }

  /** Guards against an object for each chunk of one byte. */
  @Test
  void aBodyInChunksOfOneByteTakesLittleMoreThanItsSize() {
    BufferBudget budget = new BufferBudget(1 << 20);
    RequestBody body = new RequestBody(1 << 20, new BufferBudget(1 << 20), budget, () -> {});
    for (int i = 0; i < 100_000; i++) {
      assertThat(body.add(ByteBuffer.wrap(new byte[] {(byte) i}))).isEqualTo(Optional.empty());
    }
    assertThat(budget.heldBytes()).isAtMost(100_000 + (32 << 10));
    byte[] bytes = body.takeBytes();
    assertThat(bytes).hasLength(100_000);
    assertThat(bytes[99_999]).isEqualTo((byte) 99_999);
    body.release();
    assertThat(budget.heldBytes()).isEqualTo(0);
  }
}
