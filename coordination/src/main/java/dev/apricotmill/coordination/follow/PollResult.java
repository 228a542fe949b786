package dev.apricotmill.coordination.follow;

import java.util.Optional;

/**
 * The result of a poll.
 *
 * @param response the complete response; empty if none arrived in time
 * @param receivedBytes the bytes of an incomplete response that arrived
 */
public record PollResult(Optional<FollowResponse> response, long receivedBytes) {}
