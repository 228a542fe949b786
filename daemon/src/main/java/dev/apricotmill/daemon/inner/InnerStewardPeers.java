package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import dev.apricotmill.core.peer.StewardPeers;
import dev.apricotmill.protocol.ClientStream;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ResponseListener;
import dev.apricotmill.protocol.StreamLoss;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.util.concurrent.Flow;

/** Forwards requests to stewards, the daemons that own replicas and schedule their work. */
public final class InnerStewardPeers implements StewardPeers {

  private final InnerClient client;
  private final Timing timing;

  /** Creates a client of other daemons; {@code timing} computes remaining deadlines. */
  public InnerStewardPeers(InnerClient client, Timing timing) {
    this.client = client;
    this.timing = timing;
  }

  @Override
  public Flow.Subscription forward(
      PeerAddress steward, ForwardedRequest request, ForwardListener listener) {
    Request message =
        Request.newBuilder()
            .setForward(ForwardMessages.toMessage(request, timing.nanoTime()))
            .build();
    ForwardResponseHandler answer = new ForwardResponseHandler(listener);
    ClientStream stream = client.open(PeerAddresses.toSocketAddress(steward), message, answer);
    return new Flow.Subscription() {
      @Override
      public void request(long chunks) {
        if (chunks > 0) {
          stream.grantCredit(chunks);
        }
      }

      @Override
      public void cancel() {
        answer.cancelled = true;
        stream.cancel();
      }
    };
  }

  private static final class ForwardResponseHandler implements ResponseListener {
    private final ForwardListener listener;
    private volatile boolean cancelled;

    ForwardResponseHandler(ForwardListener listener) {
      this.listener = listener;
    }

    @Override
    public void onResponse(Response response) {
      if (!cancelled) {
        listener.onChunk(ForwardMessages.fromMessage(response.getChunk()));
      }
    }

    @Override
    public void onEnd(Response response) {
      try {
        end(ForwardMessages.fromMessage(response.getForwardEnd()));
      } catch (MalformedMessageException e) {
        end(new ForwardEnd.Lost());
      }
    }

    @Override
    public void onLoss(StreamLoss loss) {
      end(loss == StreamLoss.NOT_SENT ? new ForwardEnd.NotSent() : new ForwardEnd.Lost());
    }

    private void end(ForwardEnd end) {
      if (!cancelled) {
        listener.onEnd(end);
      }
    }
  }
}
