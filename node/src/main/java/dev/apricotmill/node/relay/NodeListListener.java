package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.directory.DirectoryListener;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.platform.WriteResult;

/** Applies each list of nodes to what depends on it, and logs the removal of silent nodes. */
public final class NodeListListener implements DirectoryListener {

  private final RelayNode relay;
  private final DispatcherPlacer placer;
  private final SharedFollower follower;
  private final EventLog log;

  /** Creates a listener that updates the relay, the placer and the follower. */
  public NodeListListener(
      RelayNode relay, DispatcherPlacer placer, SharedFollower follower, EventLog log) {
    this.relay = relay;
    this.placer = placer;
    this.follower = follower;
    this.log = log;
  }

  @Override
  public void onNodes(ImmutableList<Member> members) {
    placer.updateMembers(members);
    relay.update(view -> view.withNodeCount(Math.max(1, members.size())));
    follower.updateMembers(members);
  }

  @Override
  public void onRemoval(Member member, WriteResult result) {
    log.write(
        "node.removal",
        ImmutableMap.of(
            "node", member.incarnation().toString(),
            "reason", "silent",
            "outcome", result.getClass().getSimpleName()));
  }
}
