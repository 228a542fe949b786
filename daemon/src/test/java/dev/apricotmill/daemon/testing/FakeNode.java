package dev.apricotmill.daemon.testing;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.node.Node;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.node.api.NodeStatus;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.LinkedBlockingQueue;

/** A node that records what it receives; tests send the responses. */
public final class FakeNode implements Node {

  /** The incarnation of this node. */
  public static final Incarnation SELF = new Incarnation(new DaemonId("fake"), 7);

  private final BlockingQueue<Generation> generations = new LinkedBlockingQueue<>();

  private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

  private final BlockingQueue<Forwarded> forwards = new LinkedBlockingQueue<>();

  private volatile NodeStatus.Phase phase = NodeStatus.Phase.STARTING;

  /** A generation that was submitted. */
  public record Generation(
      GenerationSubmission submission,
      GenerationResponseListener listener,
      RecordedDemand demand) {}

  /** A call that was submitted. */
  public record Call(CallSubmission submission, CompletableFuture<CallResponse> answer) {}

  /** A request that a peer forwarded. */
  public record Forwarded(
      ForwardedRequest request, ForwardListener listener, RecordedDemand demand) {}

  /** Returns the generations in the order of their arrival. */
  public BlockingQueue<Generation> generations() {
    return generations;
  }

  /** Returns the calls of plain services in the order of their arrival. */
  public BlockingQueue<Call> calls() {
    return calls;
  }

  /** Returns the requests forwarded by peers in the order of their arrival. */
  public BlockingQueue<Forwarded> forwards() {
    return forwards;
  }

  @Override
  public void start() {
    phase = NodeStatus.Phase.READY;
  }

  @Override
  public Incarnation self() {
    return SELF;
  }

  @Override
  public NodeStatus status() {
    return new NodeStatus(
        SELF,
        new Zone("test-1"),
        phase,
        3,
        true,
        generations.size(),
        ImmutableList.of(member()),
        ImmutableList.of());
  }

  @Override
  public CompletionStage<NodeStatus> drain() {
    phase = NodeStatus.Phase.DRAINED;
    return CompletableFuture.completedFuture(status());
  }

  @Override
  public void endOpenRequests() {}

  @Override
  public void close() {}

  @Override
  public Flow.Subscription generate(
      GenerationSubmission submission, GenerationResponseListener listener) {
    RecordedDemand demand = new RecordedDemand();
    generations.add(new Generation(submission, listener, demand));
    return demand;
  }

  @Override
  public CompletionStage<CallResponse> call(CallSubmission submission) {
    CompletableFuture<CallResponse> answer = new CompletableFuture<>();
    calls.add(new Call(submission, answer));
    return answer;
  }

  @Override
  public Flow.Subscription accept(ForwardedRequest request, ForwardListener listener) {
    RecordedDemand demand = new RecordedDemand();
    forwards.add(new Forwarded(request, listener, demand));
    return demand;
  }

  @Override
  public ProbeMessage onProbe(ProbeMessage message) {
    return new ProbeMessage(member(), message.updates(), 3, message.payloads());
  }

  @Override
  public CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message) {
    return CompletableFuture.completedFuture(new ProbeResult.NoAnswer());
  }

  @Override
  public CompletionStage<Optional<byte[]>> onLedgerRequest(byte[] question) {
    return CompletableFuture.completedFuture(
        question.length == 0 ? Optional.empty() : Optional.of(question));
  }

  @Override
  public FetchResult onFetch(String partName) {
    return partName.equals("held")
        ? new FetchResult.Fetched(new byte[] {1, 2, 3})
        : new FetchResult.NotFound();
  }

  /** Returns the node as a member of its zone. */
  public static Member member() {
    return new Member(SELF, new Zone("test-1"), new PeerAddress("127.0.0.1", 1), MemberState.ALIVE);
  }
}
