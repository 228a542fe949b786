package dev.apricotmill.coordination.configuration;

/**
 * Decides whether a fresh daemon may serve.
 *
 * <p>It may once it holds the generation that the platform named. While the platform is silent, it
 * may once at least one peer that it asked has a configuration and it holds the highest of theirs.
 * With both silent it goes on asking. A daemon that became ready stays so.
 */
final class FollowerReadiness {

  private boolean platformAnswered;
  private boolean peerAnswered;
  private long requiredGeneration;
  private long highestPeerGeneration;
  private boolean ready;

  void onPlatformHead(long generation) {
    if (!platformAnswered) {
      platformAnswered = true;
      requiredGeneration = generation;
    }
  }

  void onPeerHead(long generation) {
    highestPeerGeneration = Math.max(highestPeerGeneration, generation);
  }

  void onPeersAsked() {
    peerAnswered = highestPeerGeneration > 0;
  }

  boolean isReady(long generation) {
    if (!ready) {
      boolean byPlatform = platformAnswered && generation >= requiredGeneration;
      boolean byPeers = !platformAnswered && peerAnswered && generation >= highestPeerGeneration;
      ready = byPlatform || byPeers;
    }
    return ready;
  }
}
