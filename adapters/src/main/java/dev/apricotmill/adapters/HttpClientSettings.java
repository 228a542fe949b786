package dev.apricotmill.adapters;

import java.time.Duration;

/**
 * Limits of the shared HTTP client.
 *
 * @param threads number of I/O threads
 * @param connectionsPerPeer maximum number of pooled connections to one peer
 * @param connections maximum number of connections to all peers
 * @param connectTimeout longest wait for a connection
 * @param connectionLifetime time after which a connection is no longer reused
 * @param maximumBufferedBytes maximum total size of the bodies that are buffered whole
 */
public record HttpClientSettings(
    int threads,
    int connectionsPerPeer,
    int connections,
    Duration connectTimeout,
    Duration connectionLifetime,
    long maximumBufferedBytes) {

  /** Limits for a daemon on a small VM. */
  public static final HttpClientSettings DEFAULTS =
      new HttpClientSettings(2, 512, 4096, Duration.ofSeconds(1), Duration.ofMinutes(5), 64 << 20);
}
