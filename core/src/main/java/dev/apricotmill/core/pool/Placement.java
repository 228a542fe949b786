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
   * @param expected the time in which the first event is expected
   */
  record Granted(ReplicaId server, ImmutableList<ReplicaId> helpers, Duration expected)
      implements Placement {}

  /**
   * No server takes the request now.
   *
   * @param comeBack when room is expected
   */
  record Full(Duration comeBack) implements Placement {}
}
