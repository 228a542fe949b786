package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.OptionalDouble;

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
   * @param requestsPerSecond the limit that the server has named of requests from all nodes
   *     together, within which this one is; empty if it has named none
   */
  record Granted(
      ReplicaId server,
      ImmutableList<ReplicaId> helpers,
      Duration expectedFirstEvent,
      long reservedTokens,
      OptionalDouble requestsPerSecond)
      implements Placement {

    /** Creates a grant of a server that has named no limit. */
    public Granted(
        ReplicaId server,
        ImmutableList<ReplicaId> helpers,
        Duration expectedFirstEvent,
        long reservedTokens) {
      this(server, helpers, expectedFirstEvent, reservedTokens, OptionalDouble.empty());
    }

    /** Returns the grant with the limit of its server. */
    public Granted withRequestsPerSecond(OptionalDouble newRequestsPerSecond) {
      return new Granted(server, helpers, expectedFirstEvent, reservedTokens, newRequestsPerSecond);
    }
  }

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
