package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;

/** The result of a placement request: the engines that serve it, or a refusal. */
public sealed interface Placement {

  /**
   * The request goes to a server, which may share the prefill of the prompt with helpers.
   *
   * @param server the server that generates the response
   * @param helpers servers that prefill equal parts of the prompt; empty if the server prefills the
   *     whole prompt
   * @param expectedFirstEvent the predicted time to the first event of the response
   * @param reservedTokens KV memory in tokens that must be reserved at each helper because the
   *     server cannot hold the whole prompt; 0 if it can
   */
  record Granted(
      ReplicaId server,
      ImmutableList<ReplicaId> helpers,
      Duration expectedFirstEvent,
      long reservedTokens)
      implements Placement {}

  /**
   * No server has capacity for the request now.
   *
   * @param retryAfter the delay after which capacity is expected
   */
  record Full(Duration retryAfter) implements Placement {}

  /**
   * The prompt has a part that crashes engines, and is not placed.
   *
   * @param part the part
   */
  record Blocked(String part) implements Placement {}
}
