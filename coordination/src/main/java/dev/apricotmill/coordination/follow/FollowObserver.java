package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.membership.Member;
import java.time.Duration;

/** Receives decisions about which sources a follower reads. */
public interface FollowObserver {

  /** An observer that does nothing. */
  FollowObserver NONE =
      new FollowObserver() {
        @Override
        public void onPeerBackoff(
            Member peer, PeerFault fault, long receivedBytes, Duration backoff) {}

        @Override
        public void onRankChanged(int rank) {}
      };

  /**
   * Called when a peer will not be polled for the time {@code backoff}, or until all others are
   * behind as well; once for a peer that stays behind.
   *
   * @param receivedBytes the bytes of an incomplete response that arrived
   */
  void onPeerBackoff(Member peer, PeerFault fault, long receivedBytes, Duration backoff);

  /** Called when this process's rank in its zone changes; rank 0 reads the store. */
  void onRankChanged(int rank);
}
