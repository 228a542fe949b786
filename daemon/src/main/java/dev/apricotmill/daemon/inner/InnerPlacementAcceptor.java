package dev.apricotmill.daemon.inner;

import dev.apricotmill.node.relay.PlacementEndpoint;
import dev.apricotmill.protocol.ServerStream;
import dev.apricotmill.protocol.StreamAcceptor;
import dev.apricotmill.protocol.StreamHandler;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.ResetReason;
import dev.apricotmill.protocol.generated.Response;
import dev.apricotmill.protocol.generated.WorkReported;
import java.util.Optional;

/** Passes what other nodes ask and report about placements to this node's dispatcher. */
public final class InnerPlacementAcceptor implements StreamAcceptor {

  private final PlacementEndpoint endpoint;

  /** Creates the receiving side. */
  public InnerPlacementAcceptor(PlacementEndpoint endpoint) {
    this.endpoint = endpoint;
  }

  @Override
  public StreamHandler accept(Request request, ServerStream stream) {
    if (request.hasPlaceWork()) {
      endpoint.place(
          PlacementMessages.ask(request.getPlaceWork()),
          decision ->
              stream.finish(
                  Response.newBuilder()
                      .setWorkPlaced(PlacementMessages.message(decision))
                      .build()));
    } else if (request.hasReportWork()) {
      endpoint.report(
          request.getReportWork().getEventsList().stream()
              .map(PlacementMessages::report)
              .flatMap(Optional::stream)
              .toList());
      stream.finish(
          Response.newBuilder().setWorkReported(WorkReported.getDefaultInstance()).build());
    } else {
      stream.refuse(ResetReason.RESET_REASON_MALFORMED);
    }
    return StreamHandler.SINGLE_RESPONSE;
  }
}
