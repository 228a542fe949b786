package dev.apricotmill.core.relay;

import com.google.common.collect.ImmutableSet;

/**
 * The HTTP statuses by which a caller learns that its request did not run and never will.
 *
 * <p>Callers send such a request again, also one that may run only once. A backend server may end a
 * run with the same status, so a response of a server must not be passed on with it.
 */
public final class NotRunStatuses {

  private static final ImmutableSet<Integer> STATUSES = ImmutableSet.of(408, 421, 429, 503);

  private NotRunStatuses() {}

  /** Returns whether a caller takes this status as a promise that its request did not run. */
  public static boolean contains(int status) {
    return STATUSES.contains(status);
  }
}
