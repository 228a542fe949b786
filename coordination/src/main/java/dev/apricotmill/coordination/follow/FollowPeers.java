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
   * @param then takes the answer once, on any thread; empty if none came within {@code timeout}
   */
  void ask(
      Member peer,
      FollowQuestion question,
      Duration timeout,
      Consumer<Optional<FollowAnswer>> then);
}
