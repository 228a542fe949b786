package dev.apricotmill.node.relay;

import dev.apricotmill.coordination.time.Timing;

/**
 * What a node tells the dispatchers of services, and learns from them and from other nodes.
 *
 * @param blockedParts the parts of prompts that crash engines
 * @param leavingServers the servers that are about to end
 * @param limits the limits that servers have named
 */
public record SharedKnowledge(
    BlockedParts blockedParts, LeavingServers leavingServers, BackendLimits limits) {

  /** Returns the knowledge of a node that has just started. */
  public static SharedKnowledge none(Timing timing, EventLog log) {
    return new SharedKnowledge(
        new BlockedParts(timing, log),
        new LeavingServers(timing, log),
        new BackendLimits(timing, log));
  }
}
