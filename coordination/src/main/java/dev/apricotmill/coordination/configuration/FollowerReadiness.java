package dev.apricotmill.coordination.configuration;

/**
 * Decides whether a newly started daemon has a configuration that is recent enough to serve.
 *
 * <p>It is ready once it has the generation that the platform first reported. If the platform has
 * not answered, it is ready once at least one queried peer has a configuration and the daemon has
 * the highest generation among them. If neither answers, it stays unready and keeps querying. A
 * daemon that has become ready stays ready.
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
