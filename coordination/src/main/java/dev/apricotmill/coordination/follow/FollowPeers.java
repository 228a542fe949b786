package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.time.ResponseLimits;
import java.util.function.Consumer;

/** The client interface to other processes that follow the same store. */
@FunctionalInterface
public interface FollowPeers {

  /**
   * Sends a long poll to a peer.
   *
   * @param callback receives the result once, on any thread; without a response if none was
   *     complete within {@code limits}
   */
  void poll(
      Member peer, FollowRequest request, ResponseLimits limits, Consumer<PollResult> callback);
}
