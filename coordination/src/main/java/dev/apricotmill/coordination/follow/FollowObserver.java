package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.membership.Member;
import java.time.Duration;

/** Learns of decisions about where knowledge comes from. */
public interface FollowObserver {

  /** An observer that keeps nothing. */
  FollowObserver NONE =
      new FollowObserver() {
        @Override
        public void onPeerBackoff(Member peer, PeerFault fault, Duration backoff) {}

        @Override
        public void onRankChanged(int rank) {}
      };

  /** Learns that a peer is not asked for some time. */
  void onPeerBackoff(Member peer, PeerFault fault, Duration backoff);

  /** Learns of this process's place among those of its zone; the first reads the store. */
  void onRankChanged(int rank);
}
