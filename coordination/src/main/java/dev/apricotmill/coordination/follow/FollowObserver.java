package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.membership.Member;
import java.time.Duration;

/** Learns of decisions about where knowledge comes from. */
public interface FollowObserver {

  /** An observer that keeps nothing. */
  FollowObserver NONE =
      new FollowObserver() {
        @Override
        public void onPassedOver(Member peer, PeerFault fault, Duration pause) {}

        @Override
        public void onRank(int rank) {}
      };

  /** Learns that a peer is not asked for some time. */
  void onPassedOver(Member peer, PeerFault fault, Duration pause);

  /** Learns of this process's place among those of its zone; the first reads the store. */
  void onRank(int rank);
}
