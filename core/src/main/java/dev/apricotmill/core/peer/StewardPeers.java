package dev.apricotmill.core.peer;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.util.concurrent.Flow;

/**
 * Client interface through which an entry daemon reaches stewards.
 *
 * <p>The steward of a replica is the daemon that owns the replica and schedules its work.
 */
public interface StewardPeers {

  /**
   * Forwards a request. The listener receives at most as many chunks as were requested on the
   * subscription. Cancelling the subscription cancels the request at the steward.
   */
  Flow.Subscription forward(
      PeerAddress steward, ForwardedRequest request, ForwardListener listener);
}
