package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;

/**
 * The response to a {@link FollowRequest}.
 *
 * @param prefixes for each prefix that the peer knows, the update for the requester and its age
 * @param holdTime how long the peer held the request before it responded
 */
public record FollowResponse(ImmutableMap<String, PrefixState> prefixes, Duration holdTime) {

  /**
   * The state of one prefix at a peer.
   *
   * @param update what the requester lacks
   * @param age how long before the response the peer's content was last validated as the newest;
   *     empty if the peer does not know
   */
  public record PrefixState(PrefixUpdate update, Optional<Duration> age) {}

  /**
   * Returns when the peer's content was last validated, on the requester's clocks.
   *
   * <p>The result is computed from the time at which the request was sent, so network delay makes
   * it earlier but never later.
   */
  ReadTimestamp validatedAt(ReadTimestamp requestedAt, Duration age) {
    return requestedAt.minus(age.minus(holdTime));
  }
}
