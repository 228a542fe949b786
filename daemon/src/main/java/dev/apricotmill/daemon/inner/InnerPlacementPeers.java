package dev.apricotmill.daemon.inner;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
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

/** Reaches the dispatchers of other nodes over the inner protocol. */
public final class InnerPlacementPeers implements DispatcherClient {

  private final InnerQuestions questions;

  /** Creates the asking side. */
  public InnerPlacementPeers(InnerQuestions questions) {
    this.questions = questions;
  }

  @Override
  public void requestPlacement(
      PeerAddress peer,
      PlacementRequest ask,
      Duration timeout,
      Consumer<Optional<Placement>> then) {
    Request request = Request.newBuilder().setPlaceWork(PlacementMessages.message(ask)).build();
    questions.ask(
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
    questions.ask(peer, request, timeout, answer -> then.accept(answer.isPresent()));
  }

  @Override
  public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
    ReportWork.Builder message = ReportWork.newBuilder();
    reports.forEach(report -> message.addEvents(PlacementMessages.message(report)));
    questions.tell(peer, Request.newBuilder().setReportWork(message).build());
  }
}
