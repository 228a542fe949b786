package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.node.relay.PlacementEndpoint;
import dev.apricotmill.protocol.ServerStream;
import dev.apricotmill.protocol.StreamAcceptor;
import dev.apricotmill.protocol.StreamHandler;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.ResetReason;
import dev.apricotmill.protocol.generated.Response;
import dev.apricotmill.protocol.generated.WorkReported;
import java.util.Optional;

/** Passes what other nodes ask and report to this node's dispatcher and to what it follows. */
public final class InnerNodeAcceptor implements StreamAcceptor {

  private final PlacementEndpoint endpoint;
  private final SharedFollower follower;

  /** Creates the receiving side. */
  public InnerNodeAcceptor(PlacementEndpoint endpoint, SharedFollower follower) {
    this.endpoint = endpoint;
    this.follower = follower;
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
    } else if (request.hasAskFollowed()) {
      follower.onPoll(
          FollowMessages.question(request.getAskFollowed()),
          answer ->
              stream.finish(
                  Response.newBuilder().setFollowed(FollowMessages.message(answer)).build()));
    } else {
      stream.refuse(ResetReason.RESET_REASON_MALFORMED);
    }
    return StreamHandler.SINGLE_RESPONSE;
  }
}
