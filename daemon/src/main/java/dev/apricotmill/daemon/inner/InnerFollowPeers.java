package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.follow.FollowPeers;
import dev.apricotmill.coordination.follow.FollowRequest;
import dev.apricotmill.coordination.follow.PollResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.util.function.Consumer;

/** Requests followed store content from other nodes over the inner protocol. */
public final class InnerFollowPeers implements FollowPeers {

  private final InnerUnaryClient client;

  /** Creates the client side. */
  public InnerFollowPeers(InnerUnaryClient client) {
    this.client = client;
  }

  @Override
  public void poll(
      Member peer, FollowRequest question, ResponseLimits limits, Consumer<PollResult> then) {
    client.call(
        peer.address(),
        Request.newBuilder().setAskFollowed(FollowMessages.toMessage(question)).build(),
        limits,
        result ->
            then.accept(
                new PollResult(
                    result
                        .response()
                        .filter(Response::hasFollowed)
                        .map(answer -> FollowMessages.fromMessage(answer.getFollowed())),
                    result.receivedBytes())));
  }
}
