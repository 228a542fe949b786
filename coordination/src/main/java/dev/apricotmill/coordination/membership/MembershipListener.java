package dev.apricotmill.coordination.membership;

/**
 * Receives the changes that a {@link Membership} detects.
 *
 * <p>Calls are serialised. They come from the membership's scheduler or from the thread that
 * handles a probe.
 */
public interface MembershipListener {

  /** Called after the view changed. */
  void onViewChanged(MembershipView view);

  /**
   * Called after this daemon was paused or declared dead and took a higher incarnation.
   *
   * <p>Work that was queued under the old incarnation must be dropped before anything else is
   * dispatched.
   */
  void onReplaced(Member newSelf);

  /** Called with the configuration generation of a peer, also when it has not changed. */
  void onPeerGeneration(PeerAddress peer, long generation);
}
