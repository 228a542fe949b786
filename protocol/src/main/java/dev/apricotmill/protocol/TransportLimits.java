package dev.apricotmill.protocol;

import java.time.Duration;

/**
 * Bounds of the inner transport.
 *
 * @param maximumFrameBytes the largest frame
 * @param maximumMessageBytes the largest message after its parts are joined
 * @param maximumIncompleteBytes bytes of unfinished messages that one connection may hold
 * @param maximumStreams streams that one connection may have open
 * @param maximumConnections connections that a server accepts
 * @param keepAliveInterval the silence after which a sender shows that it is alive
 * @param readIdleTimeout the silence after which a peer counts as gone
 * @param connectTimeout the time limit of connecting and of the first frame
 */
public record TransportLimits(
    int maximumFrameBytes,
    int maximumMessageBytes,
    int maximumIncompleteBytes,
    int maximumStreams,
    int maximumConnections,
    Duration keepAliveInterval,
    Duration readIdleTimeout,
    Duration connectTimeout) {

  private static final int FRAME_OVERHEAD_BYTES = 64;

  /** Bounds that fit prompts of a million tokens. */
  public static final TransportLimits DEFAULT =
      new TransportLimits(
          64 << 10,
          24 << 20,
          128 << 20,
          16_384,
          1_024,
          Duration.ofSeconds(1),
          Duration.ofSeconds(4),
          Duration.ofSeconds(1));

  /** Returns the most message bytes that one part carries. */
  public int maximumPartBytes() {
    return maximumFrameBytes - FRAME_OVERHEAD_BYTES;
  }
}
