package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.node.relay.DispatcherClient;
import dev.apricotmill.protocol.generated.ReportWork;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends placement requests and reports to other nodes' dispatchers. */
public final class InnerPlacementPeers implements DispatcherClient {

  private final InnerUnaryClient client;

  /** Creates the client side. */
  public InnerPlacementPeers(InnerUnaryClient client) {
    this.client = client;
  }

  @Override
  public void requestPlacement(
      PeerAddress peer,
      PlacementRequest ask,
      Duration timeout,
      Consumer<Optional<Placement>> then) {
    Request request = Request.newBuilder().setPlaceWork(PlacementMessages.toMessage(ask)).build();
    client.call(
        peer,
        request,
        ResponseLimits.within(timeout),
        answer ->
            then.accept(
                answer
                    .response()
                    .filter(Response::hasWorkPlaced)
                    .flatMap(placed -> PlacementMessages.fromMessage(placed.getWorkPlaced()))));
  }

  @Override
  public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> then) {
    Request request = Request.newBuilder().setReportWork(ReportWork.getDefaultInstance()).build();
    client.call(
        peer,
        request,
        ResponseLimits.within(timeout),
        answer -> then.accept(answer.response().isPresent()));
  }

  @Override
  public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
    ReportWork.Builder message = ReportWork.newBuilder();
    reports.forEach(report -> message.addEvents(PlacementMessages.toMessage(report)));
    client.sendOneWay(peer, Request.newBuilder().setReportWork(message).build());
  }
}
