package dev.apricotmill.testhelpers.peers;

import dev.apricotmill.coordination.ledger.LedgerCallResult;
import dev.apricotmill.coordination.ledger.LedgerPeers;
import dev.apricotmill.coordination.ledger.LedgerRequestHandler;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.core.peer.StewardPeers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.BiConsumer;

/** One simulated daemon's side of an {@link InProcessNetwork}: what it sends and what it serves. */
public final class InProcessPeers implements PeerProbes, StewardPeers, LedgerPeers {

  private final InProcessNetwork network;
  private final PeerAddress self;
  private final Timing timing;
  private final List<InProcessForward> forwards = new ArrayList<>();
  private Optional<ProbeEndpoint> probeEndpoint = Optional.empty();
  private Optional<StewardEndpoint> stewardEndpoint = Optional.empty();
  private Optional<LedgerRequestHandler> ledgerQuestions = Optional.empty();

  InProcessPeers(InProcessNetwork network, PeerAddress self, Timing timing) {
    this.network = network;
    this.self = self;
    this.timing = timing;
  }

  /** Begins to answer other processes. */
  public void serve(ProbeEndpoint probes, StewardEndpoint stewards) {
    probeEndpoint = Optional.of(probes);
    stewardEndpoint = Optional.of(stewards);
  }

  PeerAddress self() {
    return self;
  }

  Timing timing() {
    return timing;
  }

  Optional<StewardEndpoint> stewardEndpoint() {
    return stewardEndpoint;
  }

  @Override
  public CompletionStage<ProbeResult> probe(
      PeerAddress peer, ProbeMessage message, Duration timeout) {
    return call(
        peer,
        timeout,
        new ProbeResult.NoAnswer(),
        (endpoint, answer) -> answer.accept(new ProbeResult.Answered(endpoint.onProbe(message))));
  }

  @Override
  public CompletionStage<ProbeResult> probeThrough(
      PeerAddress peer, Member target, ProbeMessage message, Duration timeout) {
    return call(
        peer,
        timeout,
        new ProbeResult.NoAnswer(),
        (endpoint, answer) -> endpoint.onProbeThrough(target, message).thenAccept(answer::accept));
  }

  @Override
  public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
    return call(
        peer,
        timeout,
        new FetchResult.NoAnswer(),
        (endpoint, answer) -> answer.accept(endpoint.onFetch(partName)));
  }

  /** Takes the answer of an endpoint. */
  private interface Answer<T> {
    void accept(T value);
  }

  /** Begins to answer questions about the claims ledger. */
  public void serveLedger(LedgerRequestHandler questions) {
    ledgerQuestions = Optional.of(questions);
  }

  @Override
  public CompletionStage<LedgerCallResult> send(
      PeerAddress peer, byte[] question, Duration timeout) {
    PendingReply<LedgerCallResult> reply =
        new PendingReply<>(timing, timeout, new LedgerCallResult.NoAnswer());
    Optional<InProcessPeers> receiver = network.process(peer);
    if (receiver.isPresent() && network.passes(self, peer)) {
      receiver.get().serveQuestion(self, question, reply);
    }
    return reply.stage();
  }

  private void serveQuestion(
      PeerAddress caller, byte[] question, PendingReply<LedgerCallResult> reply) {
    timing.schedule(
        network.latency(),
        () ->
            ledgerQuestions.ifPresent(
                questions ->
                    questions
                        .onLedgerRequest(question)
                        .thenAccept(
                            answer ->
                                answer.ifPresent(
                                    value ->
                                        answer(
                                            caller,
                                            new LedgerCallResult.Answered(value),
                                            reply)))));
  }

  private <T> CompletionStage<T> call(
      PeerAddress peer,
      Duration timeout,
      T whenSilent,
      BiConsumer<ProbeEndpoint, Answer<T>> service) {
    PendingReply<T> reply = new PendingReply<>(timing, timeout, whenSilent);
    Optional<InProcessPeers> receiver = network.process(peer);
    if (receiver.isPresent() && network.passes(self, peer)) {
      receiver.get().serveCall(self, service, reply);
    }
    return reply.stage();
  }

  private <T> void serveCall(
      PeerAddress caller, BiConsumer<ProbeEndpoint, Answer<T>> service, PendingReply<T> reply) {
    timing.schedule(
        network.latency(),
        () ->
            probeEndpoint.ifPresent(
                endpoint -> service.accept(endpoint, value -> answer(caller, value, reply))));
  }

  private <T> void answer(PeerAddress caller, T value, PendingReply<T> reply) {
    if (network.passes(self, caller)) {
      reply.reply(value, network.latency());
    }
  }

  @Override
  public Flow.Subscription forward(
      PeerAddress steward, ForwardedRequest request, ForwardListener listener) {
    Optional<InProcessPeers> receiver = network.process(steward);
    InProcessForward forward = new InProcessForward(network, this, steward, listener);
    if (receiver.isEmpty()) {
      forward.endAtEntry(new ForwardEnd.NotSent());
      return forward;
    }
    forwards.add(forward);
    receiver.get().forwards.add(forward);
    forward.open(receiver.get(), request);
    return forward;
  }

  void forget(InProcessForward forward) {
    forwards.remove(forward);
  }

  void onProcessDied(PeerAddress process) {
    List.copyOf(forwards).forEach(forward -> forward.onProcessDied(process));
  }
}
