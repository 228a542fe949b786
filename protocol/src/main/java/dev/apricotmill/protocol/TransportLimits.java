package dev.apricotmill.protocol;

import java.time.Duration;

/**
 * Limits of the inner protocol's transport.
 *
 * @param maximumFrameBytes size limit of a frame
 * @param maximumMessageBytes size limit of a message after its parts are joined
 * @param maximumIncompleteBytes limit on the bytes that all connections of a client, or of a
 *     server, buffer together for incomplete messages
 * @param maximumStreams limit on the open streams of a connection
 * @param maximumConnections limit on the open connections of a server
 * @param keepAliveInterval write idle time after which a keep-alive frame is sent
 * @param readIdleTimeout time without received data after which the connection is closed
 * @param connectTimeout time limit for connecting, and for the peer's hello after that
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
  private static final int HEAP_PER_MESSAGE = 16;
  private static final int HEAP_PER_INCOMPLETE_BYTES = 8;

  /** Limits that fit prompts of a million tokens. */
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

  /** Returns these limits with sizes of messages that fit into a heap of {@code heapBytes}. */
  public TransportLimits withinHeap(long heapBytes) {
    return new TransportLimits(
        maximumFrameBytes,
        (int) Math.min(maximumMessageBytes, heapBytes / HEAP_PER_MESSAGE),
        (int) Math.min(maximumIncompleteBytes, heapBytes / HEAP_PER_INCOMPLETE_BYTES),
        maximumStreams,
        maximumConnections,
        keepAliveInterval,
        readIdleTimeout,
        connectTimeout);
  }

  /** Returns the maximum number of message bytes in one part. */
  public int maximumPartBytes() {
    return maximumFrameBytes - FRAME_OVERHEAD_BYTES;
  }
}
