package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;

/** Where a request goes. */
public sealed interface Placement {

  /**
   * The request goes to a server, which may share the reading of the prompt with others.
   *
   * @param server the server that answers
   * @param helpers servers that read equal parts of the prompt beside it
   * @param expectedFirstEvent the time in which the first event is expected
   * @param reservedTokens memory that must be reserved at each helper, since the server cannot hold
   *     the whole prompt; zero if it can
   */
  record Granted(
      ReplicaId server,
      ImmutableList<ReplicaId> helpers,
      Duration expectedFirstEvent,
      long reservedTokens)
      implements Placement {}

  /**
   * No server takes the request now.
   *
   * @param retryAfter when room is expected
   */
  record Full(Duration retryAfter) implements Placement {}
}
