package dev.apricotmill.node.relay;

import dev.apricotmill.core.request.ServiceName;

/**
 * The share of a server's limit that a node may grant from as a dispatcher, so that nodes which
 * disagree on the dispatcher do not each grant the whole limit.
 */
@FunctionalInterface
interface GrantShare {

  /** The share of the only dispatcher. */
  double WHOLE = 1;

  /**
   * The share of a node beside which another one may grant the whole limit. Both together stay
   * within one and a half times the limit, with what each may grant at once.
   */
  double BESIDE_ANOTHER = 0.4;

  /** The share of a node that must not grant. */
  double NONE = 0;

  /** Returns this node's share of the limits of a service's servers, at most {@link #WHOLE}. */
  double of(ServiceName service);
}
