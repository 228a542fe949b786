package dev.apricotmill.coordination.membership;

/**
 * What a {@link Membership} tells its owner.
 *
 * <p>Calls come one at a time from the membership's scheduler or from the thread of a probe.
 */
public interface MembershipListener {

  /** Called after the view changed. */
  void onViewChanged(MembershipView view);

  /**
   * Called when this daemon was paused or declared dead, after it took a higher incarnation.
   *
   * <p>Work that was queued under the old incarnation must be dropped before anything is dispatched
   * again.
   */
  void onReplaced(Member newSelf);

  /** Called when a peer says that it has a configuration generation; may repeat. */
  void onPeerGeneration(PeerAddress peer, long generation);
}
