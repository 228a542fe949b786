package dev.apricotmill.core.engine;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.PrefixFingerprint;

/**
 * Prefix cache events of an engine.
 *
 * @param events the events in the order in which they occurred
 * @param lastSequence the sequence number to pass to the next read
 * @param gap whether events before the first one in {@code events} were lost
 */
public record CacheEvents(ImmutableList<Event> events, long lastSequence, boolean gap) {

  /**
   * A change of the prefix cache.
   *
   * @param prefix the prefix
   * @param stored true if the prefix was stored, false if it was evicted
   */
  public record Event(PrefixFingerprint prefix, boolean stored) {}
}
