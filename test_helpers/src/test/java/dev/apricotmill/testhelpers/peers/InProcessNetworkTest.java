package dev.apricotmill.testhelpers.peers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class InProcessNetworkTest {

  private static final PeerAddress ENTRY = new PeerAddress("10.0.0.1", 7070);
  private static final PeerAddress STEWARD = new PeerAddress("10.0.0.2", 7070);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final Duration LONG = Duration.ofSeconds(10);
  private static final RequestId REQUEST = new RequestId("r");

  private final VirtualTime time = new VirtualTime();
  private final InProcessNetwork network = new InProcessNetwork();
  private final InProcessPeers entry = network.join(ENTRY, time.newTiming());
  private final InProcessPeers steward = network.join(STEWARD, time.newTiming());
  private final RecordingSteward endpoint = new RecordingSteward();
  private final RecordingEntry listener = new RecordingEntry();
  private int probes;

  /** The steward's side, which only notes what comes. */
  private static final class RecordingSteward implements StewardEndpoint, Flow.Subscription {

    private Optional<ForwardListener> open = Optional.empty();
    private long requested;
    private boolean cancelled;

    @Override
    public Flow.Subscription accept(ForwardedRequest request, ForwardListener newListener) {
      open = Optional.of(newListener);
      return this;
    }

    @Override
    public void request(long chunks) {
      requested += chunks;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  /** The entry's side. */
  private static final class RecordingEntry implements ForwardListener {

    private final List<TokenChunk> chunks = new ArrayList<>();
    private Optional<ForwardEnd> end = Optional.empty();

    @Override
    public void onChunk(TokenChunk chunk) {
      chunks.add(chunk);
    }

    @Override
    public void onEnd(ForwardEnd newEnd) {
      assertThat(end).isEmpty();
      end = Optional.of(newEnd);
    }
  }

  /** Answers probes with the same message. */
  private final class Echo implements ProbeEndpoint {

    @Override
    public ProbeMessage onProbe(ProbeMessage message) {
      probes++;
      return message;
    }

    @Override
    public CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message) {
      return CompletableFuture.completedFuture(new ProbeResult.Answered(message));
    }

    @Override
    public FetchResult onFetch(String partName) {
      return new FetchResult.NotFound();
    }
  }

  @BeforeEach
  void serve() {
    steward.serve(new Echo(), endpoint);
  }

  private ProbeResult probe() {
    Member self =
        new Member(
            new Incarnation(new DaemonId("entry"), 1), new Zone("one"), ENTRY, MemberState.ALIVE);
    ProbeMessage message = new ProbeMessage(self, ImmutableList.of(), 0, ImmutableList.of());
    var result = entry.probe(STEWARD, message, TIMEOUT).toCompletableFuture();
    time.advance(TIMEOUT);
    return result.join();
  }

  private Flow.Subscription forward() {
    GenerationRequest request =
        new GenerationRequest(
            REQUEST,
            new CustomerId("c"),
            new ServiceName("assistant"),
            "prompt",
            2,
            10,
            Priority.NORMAL,
            1,
            PrefixFingerprint.NONE,
            true,
            entry.timing().deadlineAfter(LONG));
    Incarnation self = new Incarnation(new DaemonId("entry"), 1);
    Flow.Subscription subscription =
        entry.forward(
            STEWARD,
            new ForwardedRequest(self, new ReplicaId("engine"), 1, request, 0, "", ""),
            listener);
    subscription.request(5);
    time.advance(Duration.ofMillis(10));
    return subscription;
  }

  private void sendChunk(long position) {
    endpoint.open.orElseThrow().onChunk(new TokenChunk(REQUEST, position, 1, "t"));
    time.advance(Duration.ofMillis(10));
  }

  @Test
  void aProbeIsAnswered() {
    assertThat(probe()).isInstanceOf(ProbeResult.Answered.class);
  }

  @Test
  void aProbeToADeadProcessIsSilent() {
    network.kill(STEWARD);

    assertThat(probe()).isEqualTo(new ProbeResult.NoAnswer());
  }

  @Test
  void aCutOfTheAnswersLetsTheProbeArriveAlone() {
    network.cut(STEWARD, ENTRY);

    assertThat(probe()).isEqualTo(new ProbeResult.NoAnswer());
    assertThat(probes).isEqualTo(1);
    network.heal(ENTRY, STEWARD);
    assertThat(probe()).isInstanceOf(ProbeResult.Answered.class);
  }

  @Test
  void aSingleLostMessageIsLostOnce() {
    network.loseNext(ENTRY, STEWARD, 1);

    assertThat(probe()).isEqualTo(new ProbeResult.NoAnswer());
    assertThat(probes).isEqualTo(0);
    assertThat(probe()).isInstanceOf(ProbeResult.Answered.class);
  }

  @Test
  void aForwardCarriesDemandChunksAndItsEnd() {
    forward();
    sendChunk(0);
    endpoint.open.orElseThrow().onEnd(new ForwardEnd.Lost());
    time.advance(Duration.ofMillis(10));

    assertThat(endpoint.requested).isEqualTo(5);
    assertThat(listener.chunks).hasSize(1);
    assertThat(listener.end).hasValue(new ForwardEnd.Lost());
  }

  @Test
  void aForwardToADeadStewardIsNotSent() {
    network.kill(STEWARD);
    forward();

    assertThat(listener.end).hasValue(new ForwardEnd.NotSent());
  }

  @Test
  void aForwardIsLostWhenItsStewardDies() {
    forward();
    network.kill(STEWARD);
    time.advance(Duration.ofMillis(10));

    assertThat(listener.end).hasValue(new ForwardEnd.Lost());
  }

  @Test
  void aStewardHearsThatTheEntryDied() {
    forward();
    network.kill(ENTRY);
    time.advance(Duration.ofMillis(10));

    assertThat(endpoint.cancelled).isTrue();
  }

  @Test
  void aStreamThatLostAChunkNeverGoesOn() {
    forward();
    network.loseNext(STEWARD, ENTRY, 1);
    sendChunk(0);
    sendChunk(1);
    time.advance(LONG);

    assertThat(listener.chunks).isEmpty();
    assertThat(listener.end).hasValue(new ForwardEnd.Lost());
    assertThat(endpoint.cancelled).isTrue();
  }

  @Test
  void aCancelledForwardIsCancelledAtTheStewardAndSilentAtTheEntry() {
    Flow.Subscription subscription = forward();
    subscription.cancel();
    sendChunk(0);

    assertThat(endpoint.cancelled).isTrue();
    assertThat(listener.chunks).isEmpty();
    assertThat(listener.end).isEmpty();
  }
}
