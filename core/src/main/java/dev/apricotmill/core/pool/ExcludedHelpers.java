package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.request.ReplicaId;

/**
 * Servers that may generate a response but not help with one.
 *
 * @param always the servers that must not help with any prompt
 * @param reserving the servers that must not help where memory has to be reserved, since a
 *     reservation is a request to them
 */
public record ExcludedHelpers(ImmutableSet<ReplicaId> always, ImmutableSet<ReplicaId> reserving) {

  /** Every server may help. */
  public static final ExcludedHelpers NONE =
      new ExcludedHelpers(ImmutableSet.of(), ImmutableSet.of());

  boolean allows(ReplicaId server, boolean reserves) {
    return !always.contains(server) && !(reserves && reserving.contains(server));
  }
}
