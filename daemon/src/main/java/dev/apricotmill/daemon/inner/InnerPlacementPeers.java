package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementAsk;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.node.relay.PlacementPeers;
import dev.apricotmill.protocol.ClientStream;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ResponseListener;
import dev.apricotmill.protocol.StreamLoss;
import dev.apricotmill.protocol.generated.ReportWork;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Reaches the dispatchers of other nodes over the inner protocol. */
public final class InnerPlacementPeers implements PlacementPeers {

  private final InnerClient client;
  private final Timing timing;

  /** Creates the asking side. */
  public InnerPlacementPeers(InnerClient client, Timing timing) {
    this.client = client;
    this.timing = timing;
  }

  @Override
  public void ask(
      PeerAddress peer, PlacementAsk ask, Duration timeout, Consumer<Optional<Placement>> then) {
    Request request = Request.newBuilder().setPlaceWork(PlacementMessages.message(ask)).build();
    open(
        peer,
        request,
        timeout,
        answer ->
            then.accept(
                answer
                    .filter(Response::hasWorkPlaced)
                    .flatMap(placed -> PlacementMessages.decision(placed.getWorkPlaced()))));
  }

  @Override
  public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> then) {
    Request request = Request.newBuilder().setReportWork(ReportWork.getDefaultInstance()).build();
    open(peer, request, timeout, answer -> then.accept(answer.isPresent()));
  }

  private void open(
      PeerAddress peer, Request request, Duration timeout, Consumer<Optional<Response>> then) {
    Question question = new Question(then);
    ClientStream stream = client.open(address(peer), request, question);
    timing.schedule(
        timeout,
        () -> {
          if (question.settle(Optional.empty())) {
            stream.cancel();
          }
        });
  }

  @Override
  public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
    ReportWork.Builder message = ReportWork.newBuilder();
    reports.forEach(report -> message.addEvents(PlacementMessages.message(report)));
    client.open(
        address(peer),
        Request.newBuilder().setReportWork(message).build(),
        new Question(nothing -> {}));
  }

  private static InetSocketAddress address(PeerAddress peer) {
    return new InetSocketAddress(peer.host(), peer.port());
  }

  /** Settles a question once, by its answer, its loss or its timeout. */
  private static final class Question implements ResponseListener {

    private final Consumer<Optional<Response>> then;
    private final AtomicBoolean settled = new AtomicBoolean();

    Question(Consumer<Optional<Response>> then) {
      this.then = then;
    }

    boolean settle(Optional<Response> answer) {
      boolean first = settled.compareAndSet(false, true);
      if (first) {
        then.accept(answer);
      }
      return first;
    }

    @Override
    public void onResponse(Response response) {
      settle(Optional.empty());
    }

    @Override
    public void onEnd(Response response) {
      settle(Optional.of(response));
    }

    @Override
    public void onLoss(StreamLoss loss) {
      settle(Optional.empty());
    }
  }
}
