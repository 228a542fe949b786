package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;

/**
 * What a peer answers.
 *
 * @param prefixes for each prefix that the peer knows, what the asker lacks and how old it is
 * @param holdTime how long the peer waited with its answer
 */
public record FollowResponse(ImmutableMap<String, PrefixState> prefixes, Duration holdTime) {

  /**
   * What a peer knows of one prefix.
   *
   * @param update what the asker lacks
   * @param age how long before the answer the peer's content was proven to be the newest; empty if
   *     it does not know
   */
  public record PrefixState(PrefixUpdate update, Optional<Duration> age) {}

  /**
   * Returns the moment at which a peer's content was proven, on the asker's clocks.
   *
   * <p>The question was sent before it arrived, so that time on the way makes the moment earlier,
   * never later.
   */
  ReadTimestamp validatedAt(ReadTimestamp requestedAt, Duration age) {
    return requestedAt.minus(age.minus(holdTime));
  }
}
