package dev.apricotmill.daemon.inner;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.ledger.LedgerCallResult;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbePayload;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.GenerationEnd.FinishReason;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.steward.ReplicaLoad;
import dev.apricotmill.daemon.process.SystemTiming;
import dev.apricotmill.daemon.testing.FakeNode;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.InnerServer;
import dev.apricotmill.protocol.TransportLimits;
import dev.apricotmill.protocol.TransportSecurity;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Flow;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class InnerProtocolTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final ReplicaLoad LOAD =
      new ReplicaLoad(100, 50, 2, 40, 10, 20, 5, 1, 1234.5, Duration.ofMillis(3));

  private final Timing timing = SystemTiming.start();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final FakeNode node = new FakeNode();
  private InnerServer server;
  private InnerClient client;
  private PeerAddress peer;

  @BeforeEach
  void start() throws Exception {
    server =
        new InnerServer(
            "server",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            TransportLimits.DEFAULT,
            TransportSecurity.PLAIN,
            group,
            new InnerEndpoint(node, node, node, timing));
    client = new InnerClient("client", TransportLimits.DEFAULT, TransportSecurity.PLAIN, group);
    peer = new PeerAddress("127.0.0.1", server.address().getPort());
  }

  @AfterEach
  void stop() {
    client.close();
    server.close();
    group.shutdownGracefully();
    timing.scheduler().shutdownNow();
  }

  @Test
  void aForwardArrivesCompleteAndItsResponseReturns() throws Exception {
    RecordedResponse response = new RecordedResponse();
    ForwardedRequest sent = forwarded("long ".repeat(1_000_000), Duration.ofMinutes(1));
    Flow.Subscription subscription =
        new InnerStewardPeers(client, timing).forward(peer, sent, response);
    subscription.request(2);

    FakeNode.Forwarded forwarded = node.forwards().take();
    assertThat(forwarded.request().entry()).isEqualTo(sent.entry());
    assertThat(forwarded.request().request().prompt()).isEqualTo(sent.request().prompt());
    assertThat(forwarded.request().request().prefix()).isEqualTo(sent.request().prefix());
    assertThat(forwarded.request().generatedText()).isEqualTo(sent.generatedText());
    assertThat(forwarded.request().request().deadline().remaining(timing.nanoTime()))
        .isAtMost(Duration.ofMinutes(1));
    assertThat(forwarded.demand().awaitOne()).isTrue();
    assertThat(forwarded.demand().awaitOne()).isTrue();
    assertThat(forwarded.demand().tryOne()).isFalse();
    TokenChunk chunk = new TokenChunk(sent.request().id(), 5, 2, "á \u2603");
    forwarded.listener().onChunk(chunk);
    forwarded
        .listener()
        .onEnd(
            new ForwardEnd.Reported(
                new Outcome.Answered(200), new ForwardEnd.Usage(9, 2, FinishReason.LENGTH), LOAD));

    assertThat(response.chunks.take()).isEqualTo(chunk);
    assertThat(response.ends.take())
        .isEqualTo(
            new ForwardEnd.Reported(
                new Outcome.Answered(200), new ForwardEnd.Usage(9, 2, FinishReason.LENGTH), LOAD));
  }

  @Test
  void everyOutcomeRoundTrips() throws Exception {
    for (RefusalReason reason : RefusalReason.values()) {
      assertRoundTrips(new Outcome.Refused(reason, Duration.ofMillis(250)));
    }
    for (FailureReason reason : FailureReason.values()) {
      assertRoundTrips(new Outcome.Failed(reason));
    }
    for (UnknownReason reason : UnknownReason.values()) {
      assertRoundTrips(new Outcome.Unknown(reason));
    }
  }

  @Test
  void aForwardToAClosedPortIsReportedAsNotSent() throws Exception {
    PeerAddress closedPort;
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = new PeerAddress("127.0.0.1", unused.getLocalPort());
    }
    RecordedResponse response = new RecordedResponse();
    var unused =
        new InnerStewardPeers(client, timing)
            .forward(closedPort, forwarded("hello", TIMEOUT), response);
    assertThat(response.ends.take()).isInstanceOf(ForwardEnd.NotSent.class);
  }

  @Test
  void aForwardWhoseStewardDiesIsReportedAsLost() throws Exception {
    RecordedResponse response = new RecordedResponse();
    var unused =
        new InnerStewardPeers(client, timing).forward(peer, forwarded("hello", TIMEOUT), response);
    FakeNode.Forwarded forwarded = node.forwards().take();
    server.close();
    assertThat(response.ends.take()).isInstanceOf(ForwardEnd.Lost.class);
    assertThat(forwarded.demand().awaitCancel()).isTrue();
  }

  @Test
  void aCancelReachesTheSteward() throws Exception {
    Flow.Subscription subscription =
        new InnerStewardPeers(client, timing)
            .forward(peer, forwarded("hello", TIMEOUT), new RecordedResponse());
    FakeNode.Forwarded forwarded = node.forwards().take();
    subscription.cancel();
    assertThat(forwarded.demand().awaitCancel()).isTrue();
  }

  @Test
  void aForwardToADaemonThatIsNotReadyIsReportedAsNotSent() throws Exception {
    server.setAcceptor(InnerEndpoint.notReady());
    RecordedResponse response = new RecordedResponse();
    var unused =
        new InnerStewardPeers(client, timing).forward(peer, forwarded("hello", TIMEOUT), response);
    assertThat(response.ends.take()).isInstanceOf(ForwardEnd.NotSent.class);
  }

  @Test
  void aProbeIsAnsweredWithUpdatesAndPayloads() throws Exception {
    ProbeMessage sent =
        new ProbeMessage(
            FakeNode.member(),
            ImmutableList.of(
                new Member(
                    FakeNode.SELF,
                    new Zone("z"),
                    new PeerAddress("127.0.0.2", 9),
                    MemberState.LEAVING)),
            11,
            ImmutableList.of(new ProbePayload("summary", 4, new byte[] {9})));
    InnerPeerProbes probes = new InnerPeerProbes(client, timing);
    ProbeResult result = probes.probe(peer, sent, TIMEOUT).toCompletableFuture().get();
    assertThat(result)
        .isEqualTo(
            new ProbeResult.Answered(
                new ProbeMessage(FakeNode.member(), sent.updates(), 3, sent.payloads())));
    assertThat(
            probes.probeThrough(peer, FakeNode.member(), sent, TIMEOUT).toCompletableFuture().get())
        .isEqualTo(new ProbeResult.NoAnswer());
  }

  @Test
  void aPartIsFetchedOrReportedAsNotFound() throws Exception {
    InnerPeerProbes probes = new InnerPeerProbes(client, timing);
    assertThat(probes.fetch(peer, "held", TIMEOUT).toCompletableFuture().get())
        .isEqualTo(new FetchResult.Fetched(new byte[] {1, 2, 3}));
    assertThat(probes.fetch(peer, "other", TIMEOUT).toCompletableFuture().get())
        .isEqualTo(new FetchResult.NotFound());
  }

  @Test
  void aLedgerRequestGetsAResponseOrNoAnswer() throws Exception {
    InnerPeerProbes probes = new InnerPeerProbes(client, timing);
    assertThat(probes.send(peer, new byte[] {7}, TIMEOUT).toCompletableFuture().get())
        .isEqualTo(new LedgerCallResult.Answered(new byte[] {7}));
    assertThat(probes.send(peer, new byte[0], TIMEOUT).toCompletableFuture().get())
        .isEqualTo(new LedgerCallResult.NoAnswer());
  }

  private void assertRoundTrips(Outcome outcome) throws MalformedMessageException {
    assertThat(OutcomeMessages.fromMessage(OutcomeMessages.toMessage(outcome))).isEqualTo(outcome);
  }

  private ForwardedRequest forwarded(String prompt, Duration limit) {
    GenerationRequest request =
        new GenerationRequest(
            new RequestId("r-1"),
            new CustomerId("c"),
            new ServiceName("pool"),
            prompt,
            12,
            34,
            Priority.LOW,
            3,
            new PrefixFingerprint(-5),
            true,
            timing.deadlineAfter(limit));
    return new ForwardedRequest(
        FakeNode.SELF, new ReplicaId("replica-1"), 2, request, 5, "before", "");
  }

  private static final class RecordedResponse implements ForwardListener {
    private final BlockingQueue<TokenChunk> chunks = new LinkedBlockingQueue<>();
    private final BlockingQueue<ForwardEnd> ends = new LinkedBlockingQueue<>();

    @Override
    public void onChunk(TokenChunk chunk) {
      chunks.add(chunk);
    }

    @Override
    public void onEnd(ForwardEnd end) {
      ends.add(end);
    }
  }
}
