package dev.apricotmill.core.peer;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.util.concurrent.Flow;

/** The port through which an entry daemon reaches stewards. */
public interface StewardPeers {

  /**
   * Forwards a request. No more chunks than requested on the subscription are passed to the
   * listener; cancelling it cancels the request at the steward.
   */
  Flow.Subscription forward(
      PeerAddress steward, ForwardedRequest request, ForwardListener listener);
}
