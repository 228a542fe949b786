package dev.apricotmill.adapters;

import java.time.Duration;

/**
 * Limits of the shared HTTP client.
 *
 * @param threads I/O threads
 * @param connectionsPerPeer connections kept or opened to one peer at most
 * @param connections connections to all peers at most
 * @param connectTimeout the longest wait for a connection
 * @param connectionLifetime how long a connection is used again
 */
public record HttpClientSettings(
    int threads,
    int connectionsPerPeer,
    int connections,
    Duration connectTimeout,
    Duration connectionLifetime) {

  /** Limits that suit a daemon on a small VM. */
  public static final HttpClientSettings DEFAULTS =
      new HttpClientSettings(2, 512, 4096, Duration.ofSeconds(1), Duration.ofMinutes(5));
}
