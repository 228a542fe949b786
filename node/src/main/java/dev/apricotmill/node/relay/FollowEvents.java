package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.FollowObserver;
import dev.apricotmill.coordination.follow.PeerFault;
import dev.apricotmill.coordination.membership.Member;
import java.time.Duration;

/**
 * Logs from which sources a node follows the store.
 *
 * @param log receives the events
 */
public record FollowEvents(EventLog log) implements FollowObserver {

  @Override
  public void onPeerBackoff(Member peer, PeerFault fault, long receivedBytes, Duration backoff) {
    log.write(
        "follow.peer_passed_over",
        ImmutableMap.of(
            "node",
            peer.incarnation().toString(),
            "reason",
            fault,
            "received_bytes",
            receivedBytes,
            "not_asked_for_ms",
            backoff.toMillis()));
  }

  @Override
  public void onRankChanged(int rank) {
    log.write("follow.rank", ImmutableMap.of("rank", rank, "reads_store", rank == 0));
  }
}
