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

/** Dispatches requests and reports of other nodes to the placement endpoint and the follower. */
public final class InnerNodeAcceptor implements StreamAcceptor {

  private final PlacementEndpoint placements;
  private final SharedFollower follower;

  /** Creates the server side. */
  public InnerNodeAcceptor(PlacementEndpoint placements, SharedFollower follower) {
    this.placements = placements;
    this.follower = follower;
  }

  @Override
  public StreamHandler accept(Request request, ServerStream stream) {
    if (request.hasPlaceWork()) {
      placements.place(
          PlacementMessages.fromMessage(request.getPlaceWork()),
          decision ->
              stream.finish(
                  Response.newBuilder()
                      .setWorkPlaced(PlacementMessages.toMessage(decision))
                      .build()));
    } else if (request.hasReportWork()) {
      placements.report(
          request.getReportWork().getEventsList().stream()
              .map(PlacementMessages::fromMessage)
              .flatMap(Optional::stream)
              .toList());
      stream.finish(
          Response.newBuilder().setWorkReported(WorkReported.getDefaultInstance()).build());
    } else if (request.hasAskFollowed()) {
      follower.onPoll(
          FollowMessages.fromMessage(request.getAskFollowed()),
          answer ->
              stream.finish(
                  Response.newBuilder().setFollowed(FollowMessages.toMessage(answer)).build()));
    } else {
      stream.refuse(ResetReason.RESET_REASON_MALFORMED);
    }
    return StreamHandler.SINGLE_RESPONSE;
  }
}
