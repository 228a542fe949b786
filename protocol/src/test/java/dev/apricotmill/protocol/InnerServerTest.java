package dev.apricotmill.protocol;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import dev.apricotmill.protocol.generated.Chunk;
import dev.apricotmill.protocol.generated.Credit;
import dev.apricotmill.protocol.generated.Fetch;
import dev.apricotmill.protocol.generated.Fetched;
import dev.apricotmill.protocol.generated.Frame;
import dev.apricotmill.protocol.generated.Hello;
import dev.apricotmill.protocol.generated.Part;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class InnerServerTest {

  private static final TransportLimits LIMITS =
      new TransportLimits(
          4 << 10,
          64 << 10,
          128 << 10,
          4,
          3,
          Duration.ofMillis(200),
          Duration.ofSeconds(30),
          Duration.ofSeconds(20));
  private static final Frame HELLO = hello(ProtocolVersion.CURRENT);
  private static final Frame INCOMPLETE_REQUEST = part(1, new byte[1000], false);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private InnerServer server;
  private InnerClient client;

  @BeforeEach
  void start() throws Exception {
    server =
        new InnerServer(
            "server",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            LIMITS,
            TransportSecurity.PLAIN,
            group,
            InnerServerTest::echo);
    client = new InnerClient("client", LIMITS, TransportSecurity.PLAIN, group);
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
    group.shutdownGracefully();
  }

  @Test
  void malformedFrameClosesOnlyItsOwnConnection() throws Exception {
    assertServes("before");
    assertClosedAfter(new byte[] {0, 0, 0, 3, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF});
    assertServes("after");
  }

  @Test
  void aFrameAboveTheSizeLimitClosesTheConnectionBeforeItIsRead() throws Exception {
    assertClosedAfter(new byte[] {0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF});
    assertClosedAfter(new byte[] {(byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF});
    assertServes("after");
  }

  @Test
  void aDifferentProtocolVersionIsRefused() throws Exception {
    assertClosedAfter(hello(ProtocolVersion.CURRENT + 1));
    assertClosedAfter(hello(-1));
  }

  @Test
  void aFirstFrameOtherThanHelloIsRefused() throws Exception {
    assertClosedAfter(INCOMPLETE_REQUEST);
  }

  @Test
  void moreStreamsThanAllowedCloseTheConnection() throws Exception {
    assertClosedAfter(
        HELLO,
        part(1, new byte[1], false),
        part(2, new byte[1], false),
        part(3, new byte[1], false),
        part(4, new byte[1], false),
        part(5, new byte[1], false));
    assertServes("after");
  }

  @Test
  void partsThatJoinToMoreThanTheLimitCloseTheConnection() throws Exception {
    Frame[] frames = new Frame[23];
    frames[0] = HELLO;
    for (int i = 1; i < frames.length; i++) {
      frames[i] = part(1, new byte[3000], false);
    }
    assertClosedAfter(frames);
    assertServes("after");
  }

  /** Guards against peers that use up memory with messages that never end, on many connections. */
  @Test
  void incompleteMessagesOfAllConnectionsTogetherAreBounded() throws Exception {
    Frame[] withinLimit = new Frame[1 + 3 * 10];
    withinLimit[0] = HELLO;
    for (int i = 1; i < withinLimit.length; i++) {
      withinLimit[i] = part(1 + (i - 1) / 10, new byte[3000], false);
    }
    try (Socket first = connect();
        Socket second = connect()) {
      write(first, withinLimit);
      awaitIncompleteBytes(90_000);

      write(second, withinLimit);

      long writtenNanos = System.nanoTime();
      assertThat(readsToEnd(second)).isTrue();
      // An idle connection is closed as well, but later.
      assertThat(Duration.ofNanos(System.nanoTime() - writtenNanos))
          .isLessThan(LIMITS.readIdleTimeout().dividedBy(2));
      awaitIncompleteBytes(90_000);
      assertServes("after");
    }
    awaitIncompleteBytes(0);
  }

  private void awaitIncompleteBytes(long bytes) throws InterruptedException {
    while (server.incompleteBytes() != bytes) {
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
      Thread.onSpinWait();
    }
  }

  @Test
  void aStreamIdBelowAnEarlierOneIsRefused() throws Exception {
    assertClosedAfter(HELLO, part(7, new byte[1], false), part(6, new byte[1], false));
  }

  @Test
  void aCreditOfZeroIsRefused() throws Exception {
    assertClosedAfter(
        HELLO,
        part(1, new byte[1], false),
        Frame.newBuilder().setStream(1).setCredit(Credit.getDefaultInstance()).build());
  }

  @Test
  void aMalformedRequestIsReset() throws Exception {
    try (Socket socket = connect()) {
      write(socket, HELLO, part(1, new byte[] {(byte) 0xFF, (byte) 0xFF}, true));
      socket.getInputStream().skipNBytes(4);
      assertThat(socket.getInputStream().read()).isAtLeast(0);
    }
    assertServes("after");
  }

  @Test
  void aConnectionAboveTheLimitIsClosedWhileOthersAreServed() throws Exception {
    assertServes("before");
    try (Socket second = connect();
        Socket third = connect()) {
      write(second, HELLO);
      write(third, HELLO);
      assertThat(second.getInputStream().read()).isAtLeast(0);
      assertThat(third.getInputStream().read()).isAtLeast(0);
      try (Socket fourth = connect()) {
        assertThat(readsToEnd(fourth)).isTrue();
      }
    }
    assertServes("after");
  }

  @Test
  void aResponseWithoutCreditClosesTheConnectionToItsSender() throws Exception {
    server.setAcceptor(
        (request, stream) -> {
          stream.send(
              Response.newBuilder().setChunk(Chunk.newBuilder().setText("too soon")).build());
          return StreamHandler.SINGLE_RESPONSE;
        });
    RecordedResponses responses = new RecordedResponses();
    client.open(server.address(), fetch("x"), responses);
    assertThat(responses.losses.take()).isEqualTo(StreamLoss.LOST);
  }

  @Test
  void aRequestLargerThanTheLimitIsNotSent() throws Exception {
    RecordedResponses responses = new RecordedResponses();
    client.open(server.address(), fetch("x".repeat(70_000)), responses);
    assertThat(responses.losses.take()).isEqualTo(StreamLoss.NOT_SENT);
  }

  private void assertServes(String text) throws InterruptedException {
    RecordedResponses responses = new RecordedResponses();
    client.open(server.address(), fetch(text), responses);
    assertThat(responses.ends.take().getFetched().getValue().toStringUtf8()).isEqualTo(text);
  }

  private void assertClosedAfter(Frame... frames) throws IOException {
    try (Socket socket = connect()) {
      write(socket, frames);
      assertThat(readsToEnd(socket)).isTrue();
    }
  }

  private void assertClosedAfter(byte[] bytes) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(bytes);
      assertThat(readsToEnd(socket)).isTrue();
    }
  }

  private Socket connect() throws IOException {
    return new Socket(server.address().getAddress(), server.address().getPort());
  }

  private static boolean readsToEnd(Socket socket) throws IOException {
    try {
      socket.getInputStream().readAllBytes();
    } catch (SocketException e) {
      assertThat(e).hasMessageThat().contains("reset");
    }
    return true;
  }

  private static void write(Socket socket, Frame... frames) throws IOException {
    DataOutputStream output = new DataOutputStream(socket.getOutputStream());
    try {
      for (Frame frame : frames) {
        output.writeInt(frame.getSerializedSize());
        frame.writeTo(output);
      }
    } catch (SocketException e) {
      // The server may close while the rest is still being written.
      assertThat(e).hasMessageThat().isNotEmpty();
    }
  }

  private static StreamHandler echo(Request request, ServerStream stream) {
    stream.finish(
        Response.newBuilder()
            .setFetched(
                Fetched.newBuilder()
                    .setValue(ByteString.copyFromUtf8(request.getFetch().getPartName())))
            .build());
    return StreamHandler.SINGLE_RESPONSE;
  }

  private static Request fetch(String part) {
    return Request.newBuilder().setFetch(Fetch.newBuilder().setPartName(part)).build();
  }

  private static Frame hello(int version) {
    return Frame.newBuilder().setHello(Hello.newBuilder().setVersion(version)).build();
  }

  private static Frame part(long stream, byte[] data, boolean last) {
    return Frame.newBuilder()
        .setStream(stream)
        .setPart(Part.newBuilder().setData(ByteString.copyFrom(data)).setLast(last))
        .build();
  }

  private static final class RecordedResponses implements ResponseListener {
    private final BlockingQueue<Response> ends = new LinkedBlockingQueue<>();
    private final BlockingQueue<StreamLoss> losses = new LinkedBlockingQueue<>();

    @Override
    public void onResponse(Response response) {}

    @Override
    public void onEnd(Response response) {
      ends.add(response);
    }

    @Override
    public void onLoss(StreamLoss loss) {
      losses.add(loss);
    }
  }
}
