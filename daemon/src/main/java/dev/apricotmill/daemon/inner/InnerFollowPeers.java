package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.follow.FollowPeers;
import dev.apricotmill.coordination.follow.FollowRequest;
import dev.apricotmill.coordination.follow.FollowResponse;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Asks other nodes what they know of the store, over the inner protocol. */
public final class InnerFollowPeers implements FollowPeers {

  private final InnerQuestions questions;

  /** Creates the asking side. */
  public InnerFollowPeers(InnerQuestions questions) {
    this.questions = questions;
  }

  @Override
  public void poll(
      Member peer,
      FollowRequest question,
      Duration timeout,
      Consumer<Optional<FollowResponse>> then) {
    questions.ask(
        peer.address(),
        Request.newBuilder().setAskFollowed(FollowMessages.message(question)).build(),
        timeout,
        response ->
            then.accept(
                response
                    .filter(Response::hasFollowed)
                    .map(answer -> FollowMessages.answer(answer.getFollowed()))));
  }
}
