package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.ledger.LedgerCallResult;
import dev.apricotmill.coordination.ledger.LedgerPeers;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.generated.AskLedger;
import dev.apricotmill.protocol.generated.Fetch;
import dev.apricotmill.protocol.generated.ProbeThrough;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Probes peers, fetches parts and sends ledger requests over the inner protocol. */
public final class InnerPeerProbes implements PeerProbes, LedgerPeers {

  private final InnerUnaryClient client;

  /** Creates a client of other daemons; {@code timing} runs the timeouts. */
  public InnerPeerProbes(InnerClient client, Timing timing) {
    this.client = new InnerUnaryClient(client, timing);
  }

  @Override
  public CompletionStage<ProbeResult> probe(
      PeerAddress peer, ProbeMessage message, Duration timeout) {
    Request request = Request.newBuilder().setProbe(MemberMessages.toMessage(message)).build();
    return exchange(
        peer,
        request,
        ResponseLimits.within(timeout),
        InnerPeerProbes::probeResult,
        new ProbeResult.NoAnswer());
  }

  @Override
  public CompletionStage<ProbeResult> probeThrough(
      PeerAddress peer, Member target, ProbeMessage message, Duration timeout) {
    Request request =
        Request.newBuilder()
            .setProbeThrough(
                ProbeThrough.newBuilder()
                    .setTarget(MemberMessages.toMessage(target))
                    .setProbe(MemberMessages.toMessage(message)))
            .build();
    return exchange(
        peer,
        request,
        ResponseLimits.within(timeout),
        InnerPeerProbes::probeResult,
        new ProbeResult.NoAnswer());
  }

  @Override
  public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
    Request request =
        Request.newBuilder().setFetch(Fetch.newBuilder().setPartName(partName)).build();
    return exchange(
        peer,
        request,
        ResponseLimits.transfer(timeout),
        InnerPeerProbes::fetchResult,
        new FetchResult.NoAnswer());
  }

  @Override
  public CompletionStage<LedgerCallResult> send(
      PeerAddress peer, byte[] question, Duration timeout) {
    Request request =
        Request.newBuilder()
            .setAskLedger(AskLedger.newBuilder().setQuestion(MemberMessages.wrap(question)))
            .build();
    return exchange(
        peer,
        request,
        ResponseLimits.within(timeout),
        InnerPeerProbes::ledgerCallResult,
        new LedgerCallResult.NoAnswer());
  }

  private static LedgerCallResult ledgerCallResult(Response response) {
    boolean answered = response.hasLedgerAnswer() && response.getLedgerAnswer().hasValue();
    return answered
        ? new LedgerCallResult.Answered(response.getLedgerAnswer().getValue().toByteArray())
        : new LedgerCallResult.NoAnswer();
  }

  private <T> CompletionStage<T> exchange(
      PeerAddress peer,
      Request request,
      ResponseLimits limits,
      Function<Response, T> parser,
      T noAnswer) {
    CompletableFuture<T> result = new CompletableFuture<>();
    client.call(
        peer,
        request,
        limits,
        answer -> result.complete(answer.response().map(parser).orElse(noAnswer)));
    return result;
  }

  private static ProbeResult probeResult(Response response) {
    if (!response.hasProbeAnswer() || !response.getProbeAnswer().hasReply()) {
      return new ProbeResult.NoAnswer();
    }
    try {
      return new ProbeResult.Answered(
          MemberMessages.fromMessage(response.getProbeAnswer().getReply()));
    } catch (MalformedMessageException e) {
      return new ProbeResult.NoAnswer();
    }
  }

  private static FetchResult fetchResult(Response response) {
    if (!response.hasFetched()) {
      return new FetchResult.NoAnswer();
    }
    return response.getFetched().hasValue()
        ? new FetchResult.Fetched(response.getFetched().getValue().toByteArray())
        : new FetchResult.NotFound();
  }
}
