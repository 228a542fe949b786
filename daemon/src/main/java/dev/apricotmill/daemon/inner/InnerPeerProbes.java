package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.ledger.LedgerCallResult;
import dev.apricotmill.coordination.ledger.LedgerPeers;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.protocol.ClientStream;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ResponseListener;
import dev.apricotmill.protocol.StreamLoss;
import dev.apricotmill.protocol.generated.AskLedger;
import dev.apricotmill.protocol.generated.Fetch;
import dev.apricotmill.protocol.generated.ProbeThrough;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.function.Function;

/** Probes peers, fetches parts and sends ledger requests over the inner protocol. */
public final class InnerPeerProbes implements PeerProbes, LedgerPeers {

  private final InnerClient client;
  private final Timing timing;

  /** Creates a client of other daemons; {@code timing} runs the timeouts. */
  public InnerPeerProbes(InnerClient client, Timing timing) {
    this.client = client;
    this.timing = timing;
  }

  @Override
  public CompletionStage<ProbeResult> probe(
      PeerAddress peer, ProbeMessage message, Duration timeout) {
    Request request = Request.newBuilder().setProbe(MemberMessages.toMessage(message)).build();
    return exchange(
        peer, request, timeout, InnerPeerProbes::probeResult, new ProbeResult.NoAnswer());
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
        peer, request, timeout, InnerPeerProbes::probeResult, new ProbeResult.NoAnswer());
  }

  @Override
  public CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout) {
    Request request =
        Request.newBuilder().setFetch(Fetch.newBuilder().setPartName(partName)).build();
    return exchange(
        peer, request, timeout, InnerPeerProbes::fetchResult, new FetchResult.NoAnswer());
  }

  @Override
  public CompletionStage<LedgerCallResult> send(
      PeerAddress peer, byte[] question, Duration timeout) {
    Request request =
        Request.newBuilder()
            .setAskLedger(AskLedger.newBuilder().setQuestion(MemberMessages.wrap(question)))
            .build();
    return exchange(
        peer, request, timeout, InnerPeerProbes::ledgerCallResult, new LedgerCallResult.NoAnswer());
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
      Duration timeout,
      Function<Response, T> parser,
      T noAnswer) {
    CompletableFuture<T> result = new CompletableFuture<>();
    ClientStream stream =
        client.open(
            PeerAddresses.toSocketAddress(peer),
            request,
            new SingleResponse<>(result, parser, noAnswer));
    Future<?> timer =
        timing.schedule(
            timeout,
            () -> {
              if (result.complete(noAnswer)) {
                stream.cancel();
              }
            });
    result.whenComplete((value, failure) -> timer.cancel(false));
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

  private record SingleResponse<T>(
      CompletableFuture<T> result, Function<Response, T> parser, T noAnswer)
      implements ResponseListener {

    @Override
    public void onResponse(Response response) {
      result.complete(noAnswer);
    }

    @Override
    public void onEnd(Response response) {
      result.complete(parser.apply(response));
    }

    @Override
    public void onLoss(StreamLoss loss) {
      result.complete(noAnswer);
    }
  }
}
