package dev.apricotmill.core.engine;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.PrefixFingerprint;

/**
 * Prefix cache events of an engine.
 *
 * @param events the events in order
 * @param lastSequence the number to go on from
 * @param gap whether events before the first were lost
 */
public record CacheEvents(ImmutableList<Event> events, long lastSequence, boolean gap) {

  /**
   * One event.
   *
   * @param prefix the prefix
   * @param stored whether it was stored rather than evicted
   */
  public record Event(PrefixFingerprint prefix, boolean stored) {}
}
