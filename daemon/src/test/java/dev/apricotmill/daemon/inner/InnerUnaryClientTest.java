package dev.apricotmill.daemon.inner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.io.Closer;
import com.google.protobuf.ByteString;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.CountingTicker;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.daemon.testing.Eventually;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ProtocolVersion;
import dev.apricotmill.protocol.TransportLimits;
import dev.apricotmill.protocol.TransportSecurity;
import dev.apricotmill.protocol.generated.Fetched;
import dev.apricotmill.protocol.generated.Frame;
import dev.apricotmill.protocol.generated.Hello;
import dev.apricotmill.protocol.generated.Part;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls whose response arrives byte by byte from a scripted server. */
@Timeout(60)
final class InnerUnaryClientTest {

  private static final ResponseLimits LIMITS =
      new ResponseLimits(Duration.ofMillis(300), Duration.ofMillis(300), Duration.ofSeconds(4));
  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final int GUARD_TIMEOUT_SECONDS = 20;
  private static final Response RESPONSE =
      Response.newBuilder()
          .setFetched(Fetched.newBuilder().setValue(ByteString.copyFrom(new byte[20])))
          .build();

  private final VirtualTime time = new VirtualTime();

  /** The timer of a call reads the clock once for each part. */
  private final CountingTicker ticker = new CountingTicker(time);

  private final Timing timing = new Timing(time.clock(), ticker, time.newScheduler());
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final InnerClient client =
      new InnerClient("client", TransportLimits.DEFAULT, TransportSecurity.PLAIN, group);
  private final Closer sockets = Closer.create();
  private final CompletableFuture<InnerUnaryClient.CallResult> result = new CompletableFuture<>();

  @AfterEach
  void stop() throws IOException {
    client.close();
    sockets.close();
    group.shutdownGracefully();
  }

  @Test
  void aLargeResponseThatIsStillArrivingIsNotTakenForSilence() throws Exception {
    ByteString bytes = RESPONSE.toByteString();

    callAndSend(bytes.size());

    assertThat(PAUSE.multipliedBy(bytes.size())).isGreaterThan(LIMITS.begin());
    assertThat(awaitResult().response().map(Response::getFetched))
        .isEqualTo(Optional.of(RESPONSE.getFetched()));
  }

  @Test
  void aResponseThatStallsEndsTheCallAndTellsHowMuchHadArrived() throws Exception {
    callAndSend(5);
    time.advance(LIMITS.gap());

    assertThat(awaitResult().response()).isEmpty();
    assertThat(awaitResult().receivedBytes()).isEqualTo(5);
  }

  private InnerUnaryClient.CallResult awaitResult() throws Exception {
    return result.get(GUARD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends a request; the server responds with the first bytes of a response, one at a time. */
  private void callAndSend(int byteCount) throws IOException, InterruptedException {
    ByteString bytes = RESPONSE.toByteString();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      new InnerUnaryClient(client, timing)
          .call(
              new PeerAddress("127.0.0.1", server.getLocalPort()),
              Request.getDefaultInstance(),
              LIMITS,
              result::complete);
      Socket connection = accept(server);
      DataOutputStream output = new DataOutputStream(connection.getOutputStream());
      write(
          output,
          Frame.newBuilder()
              .setHello(Hello.newBuilder().setVersion(ProtocolVersion.CURRENT).setDaemon("server"))
              .build());
      // The client drops the parts of a response to a request that it has not sent.
      awaitRequest(new DataInputStream(connection.getInputStream()));
      for (int i = 0; i < byteCount; i++) {
        int readsBefore = ticker.reads();
        boolean last = i == bytes.size() - 1;
        write(output, part(bytes.substring(i, i + 1), last));
        if (!last) {
          Eventually.holds(() -> ticker.reads() != readsBefore);
          time.advance(PAUSE);
        }
      }
    }
  }

  /** Accepts the connection of the client; it stays open until the test ends. */
  private Socket accept(ServerSocket server) throws IOException {
    Socket socket = server.accept();
    sockets.register(socket);
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(GUARD_TIMEOUT_SECONDS));
    return socket;
  }

  private static void awaitRequest(DataInputStream input) throws IOException {
    Frame frame = readFrame(input);
    while (!frame.getPart().getLast()) {
      frame = readFrame(input);
    }
  }

  private static Frame readFrame(DataInputStream input) throws IOException {
    return Frame.parseFrom(input.readNBytes(input.readInt()));
  }

  private static Frame part(ByteString data, boolean last) {
    return Frame.newBuilder()
        .setStream(1)
        .setPart(Part.newBuilder().setData(data).setLast(last).setEndStream(last))
        .build();
  }

  private static void write(DataOutputStream output, Frame frame) throws IOException {
    output.writeInt(frame.getSerializedSize());
    frame.writeTo(output);
    output.flush();
  }
}
