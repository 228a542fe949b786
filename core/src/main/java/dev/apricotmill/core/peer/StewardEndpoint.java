package dev.apricotmill.core.peer;

import java.util.concurrent.Flow;

/** Server side of {@link StewardPeers}, in the steward's process. */
public interface StewardEndpoint {

  /** Accepts a forwarded request; see {@link StewardPeers#forward}. */
  Flow.Subscription accept(ForwardedRequest request, ForwardListener listener);
}
