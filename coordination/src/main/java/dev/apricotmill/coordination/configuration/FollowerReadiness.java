package dev.apricotmill.coordination.configuration;

/**
 * Decides whether a fresh daemon may serve.
 *
 * <p>It may once it holds the generation that the platform named. While the platform is silent, it
 * may once at least one peer that it asked has a configuration and it holds the highest of theirs.
 * With both silent it goes on asking. A daemon that became ready stays so.
 */
final class FollowerReadiness {

  private boolean platformResponded;
  private boolean peerHasConfiguration;
  private long requiredGeneration;
  private long highestPeerGeneration;
  private boolean ready;

  void onPlatformHead(long generation) {
    if (!platformResponded) {
      platformResponded = true;
      requiredGeneration = generation;
    }
  }

  void onPeerHead(long generation) {
    highestPeerGeneration = Math.max(highestPeerGeneration, generation);
  }

  void onPeerQueryFinished() {
    peerHasConfiguration = highestPeerGeneration > 0;
  }

  boolean isReady(long generation) {
    if (!ready) {
      boolean caughtUpWithPlatform = platformResponded && generation >= requiredGeneration;
      boolean caughtUpWithPeers =
          !platformResponded && peerHasConfiguration && generation >= highestPeerGeneration;
      ready = caughtUpWithPlatform || caughtUpWithPeers;
    }
    return ready;
  }
}
