package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.ledger.LedgerRequestHandler;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.protocol.ServerStream;
import dev.apricotmill.protocol.StreamAcceptor;
import dev.apricotmill.protocol.StreamHandler;
import dev.apricotmill.protocol.generated.AskLedger;
import dev.apricotmill.protocol.generated.Fetched;
import dev.apricotmill.protocol.generated.Forward;
import dev.apricotmill.protocol.generated.LedgerAnswer;
import dev.apricotmill.protocol.generated.Probe;
import dev.apricotmill.protocol.generated.ProbeAnswer;
import dev.apricotmill.protocol.generated.ProbeThrough;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.ResetReason;
import dev.apricotmill.protocol.generated.Response;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Flow;

/**
 * Dispatches requests from other daemons to this daemon's steward, probe and ledger endpoints.
 *
 * <p>The steward is the daemon that owns a replica and schedules its work.
 */
public final class InnerEndpoint implements StreamAcceptor {

  private static final Logger LOGGER = System.getLogger(InnerEndpoint.class.getName());

  private final StewardEndpoint steward;
  private final ProbeEndpoint probes;
  private final LedgerRequestHandler ledger;
  private final Timing timing;

  /** Creates the server side of the inner protocol. */
  public InnerEndpoint(
      StewardEndpoint steward, ProbeEndpoint probes, LedgerRequestHandler ledger, Timing timing) {
    this.steward = steward;
    this.probes = probes;
    this.ledger = ledger;
    this.timing = timing;
  }

  /** Returns an acceptor that refuses every request, for use until the daemon is ready. */
  public static StreamAcceptor notReady() {
    return (request, stream) -> {
      stream.refuse(ResetReason.RESET_REASON_NOT_READY);
      return StreamHandler.SINGLE_RESPONSE;
    };
  }

  @Override
  public StreamHandler accept(Request request, ServerStream stream) {
    try {
      return dispatch(request, stream);
    } catch (MalformedMessageException e) {
      LOGGER.log(Level.WARNING, "inner: refused a malformed message: {0}", e.getMessage());
      stream.refuse(ResetReason.RESET_REASON_MALFORMED);
      return StreamHandler.SINGLE_RESPONSE;
    }
  }

  private StreamHandler dispatch(Request request, ServerStream stream)
      throws MalformedMessageException {
    switch (request.getBodyCase()) {
      case FORWARD -> {
        return onForward(request.getForward(), stream);
      }
      case PROBE -> onProbe(request.getProbe(), stream);
      case PROBE_THROUGH -> onProbeThrough(request.getProbeThrough(), stream);
      case FETCH -> onFetch(request.getFetch().getPartName(), stream);
      case ASK_LEDGER -> onAskLedger(request.getAskLedger(), stream);
      case PLACE_WORK, REPORT_WORK ->
          throw new MalformedMessageException(
              "expected a request to a daemon with stewards, got a placement request or work report");
      case ASK_FOLLOWED ->
          throw new MalformedMessageException(
              "expected a request to a daemon with stewards, got a request for followed objects");
      case BODY_NOT_SET -> throw new MalformedMessageException("request without a body");
    }
    return StreamHandler.SINGLE_RESPONSE;
  }

  private StreamHandler onForward(Forward message, ServerStream stream)
      throws MalformedMessageException {
    Flow.Subscription subscription =
        steward.accept(
            ForwardMessages.fromMessage(message, timing), new ForwardResponseSender(stream));
    return new StreamHandler() {
      @Override
      public void onCredit(long responses) {
        subscription.request(responses);
      }

      @Override
      public void onCancel() {
        subscription.cancel();
      }
    };
  }

  private void onProbe(Probe message, ServerStream stream) throws MalformedMessageException {
    finish(stream, probes.onProbe(MemberMessages.fromMessage(message)));
  }

  private void onProbeThrough(ProbeThrough message, ServerStream stream)
      throws MalformedMessageException {
    probes
        .onProbeThrough(
            MemberMessages.fromMessage(message.getTarget()),
            MemberMessages.fromMessage(message.getProbe()))
        .thenAccept(
            result -> {
              if (result instanceof ProbeResult.Answered answered) {
                finish(stream, answered.reply());
              } else {
                stream.finish(
                    Response.newBuilder().setProbeAnswer(ProbeAnswer.getDefaultInstance()).build());
              }
            });
  }

  private void onFetch(String partName, ServerStream stream) {
    Fetched.Builder fetched = Fetched.newBuilder();
    if (probes.onFetch(partName) instanceof FetchResult.Fetched found) {
      fetched.setValue(MemberMessages.wrap(found.value()));
    }
    stream.finish(Response.newBuilder().setFetched(fetched).build());
  }

  private void onAskLedger(AskLedger message, ServerStream stream) {
    ledger
        .onLedgerRequest(message.getQuestion().toByteArray())
        .thenAccept(
            answer -> {
              LedgerAnswer.Builder reply = LedgerAnswer.newBuilder();
              answer.map(MemberMessages::wrap).ifPresent(reply::setValue);
              stream.finish(Response.newBuilder().setLedgerAnswer(reply).build());
            });
  }

  private static void finish(ServerStream stream, ProbeMessage reply) {
    stream.finish(
        Response.newBuilder()
            .setProbeAnswer(ProbeAnswer.newBuilder().setReply(MemberMessages.toMessage(reply)))
            .build());
  }

  private record ForwardResponseSender(ServerStream stream) implements ForwardListener {

    @Override
    public void onChunk(TokenChunk chunk) {
      stream.send(Response.newBuilder().setChunk(ForwardMessages.toMessage(chunk)).build());
    }

    @Override
    public void onEnd(ForwardEnd end) {
      if (end instanceof ForwardEnd.Reported reported) {
        stream.finish(
            Response.newBuilder().setForwardEnd(ForwardMessages.toMessage(reported)).build());
      } else if (end instanceof ForwardEnd.NotSent) {
        stream.refuse(ResetReason.RESET_REASON_NOT_READY);
      } else {
        // A ForwardEnd without an outcome reports to the entry daemon that the request was lost.
        stream.finish(
            Response.newBuilder()
                .setForwardEnd(dev.apricotmill.protocol.generated.ForwardEnd.getDefaultInstance())
                .build());
      }
    }
  }
}
