package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.membership.Member;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** The port to other processes that follow the same store. */
@FunctionalInterface
public interface FollowPeers {

  /**
   * Asks a peer what it knows.
   *
   * @param callback takes the answer once, on any thread; empty if none came within {@code timeout}
   */
  void poll(
      Member peer,
      FollowRequest request,
      Duration timeout,
      Consumer<Optional<FollowResponse>> callback);
}
