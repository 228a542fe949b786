package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which servers get requests of this node: none while a pause lasts that a server asked
 * for, and few at first after it, so that the requests do not return all at once.
 *
 * <p>Not thread-safe.
 */
final class PausedServers {

  /**
   * Servers ask for seconds or minutes; a value above an hour is taken for a mistake, such as
   * milliseconds in place of seconds, that must not withhold a server for days.
   */
  static final Duration MAX_PAUSE = Duration.ofHours(1);

  /** Above the number of servers of the largest deployment. */
  static final int MAX_SERVERS = 4_096;

  /** A server that is still overloaded asks for its next pause well within this time. */
  static final Duration RETURN_STEP = Duration.ofMillis(250);

  private static final int RETURN_STEPS = 8;

  /** How long the requests of this node are limited after a pause. */
  static final Duration RETURN_DURATION = RETURN_STEP.multipliedBy(RETURN_STEPS);

  private final Map<ReplicaId, Pause> pauses = new HashMap<>();

  /** The pause of one incarnation of a server, and the time in which requests return after it. */
  private static final class Pause {

    private final long startedMillis;
    private boolean active;
    private boolean capped;
    private long beganNanos;
    private long untilNanos;
    private int openAtEnd;
    private int responses;

    Pause(long startedMillis) {
      this.startedMillis = startedMillis;
    }

    Change extend(Duration requested, long nowNanos) {
      boolean begins = !active;
      boolean firstCapped = !capped && requested.compareTo(MAX_PAUSE) > 0;
      capped |= firstCapped;
      long newUntilNanos = nowNanos + Comparators.min(requested, MAX_PAUSE).toNanos();
      if (begins) {
        active = true;
        beganNanos = nowNanos;
        untilNanos = newUntilNanos;
      } else if (newUntilNanos - untilNanos > 0) {
        untilNanos = newUntilNanos;
      }
      return new Change(begins, firstCapped);
    }

    void end(int openRequests) {
      active = false;
      openAtEnd = openRequests;
      responses = 0;
    }

    /** The limit doubles with each step, and rises with each response that asks for no pause. */
    boolean accepts(int openRequests, long nowNanos) {
      return !active && openRequests < openAtEnd + responses + (1L << returnSteps(nowNanos));
    }

    long returnSteps(long nowNanos) {
      return Math.min(RETURN_STEPS, (nowNanos - untilNanos) / RETURN_STEP.toNanos());
    }

    Duration untilNextChange(long nowNanos) {
      long nextNanos =
          active ? untilNanos : untilNanos + (returnSteps(nowNanos) + 1) * RETURN_STEP.toNanos();
      return Duration.ofNanos(Math.max(0, nextNanos - nowNanos));
    }
  }

  boolean isEmpty() {
    return pauses.isEmpty();
  }

  int size() {
    return pauses.size();
  }

  /**
   * What a server's wish for a pause has changed.
   *
   * @param begins whether the server was not paused before
   * @param firstCapped whether the server has asked for more than {@link #MAX_PAUSE} the first time
   */
  record Change(boolean begins, boolean firstCapped) {

    static final Change NONE = new Change(false, false);
  }

  /** Pauses a server for at most {@link #MAX_PAUSE}. Never shortens a pause. */
  Change pause(BackendServer server, Duration requested, long nowNanos) {
    Pause pause = pauses.get(server.id());
    if (requested.isNegative()
        || requested.isZero()
        || (pause != null && pause.startedMillis > server.startedMillis())) {
      return Change.NONE;
    }
    if (pause == null || pause.startedMillis < server.startedMillis()) {
      pause = add(server, nowNanos);
    }
    return pause.extend(requested, nowNanos);
  }

  private Pause add(BackendServer server, long nowNanos) {
    if (pauses.size() >= MAX_SERVERS) {
      removeFirstToEnd(nowNanos);
    }
    Pause pause = new Pause(server.startedMillis());
    pauses.put(server.id(), pause);
    return pause;
  }

  private void removeFirstToEnd(long nowNanos) {
    pauses.entrySet().stream()
        .min(Comparator.comparingLong(entry -> entry.getValue().untilNanos - nowNanos))
        .ifPresent(first -> pauses.remove(first.getKey()));
  }

  /** Returns whether a server wants no requests now. */
  boolean isPaused(BackendServer server) {
    return find(server).filter(pause -> pause.active).isPresent();
  }

  /**
   * Returns whether a request may go to a server now.
   *
   * @param openRequests the requests of this node that the server has not completed
   */
  boolean accepts(BackendServer server, int openRequests, long nowNanos) {
    return find(server).map(pause -> pause.accepts(openRequests, nowNanos)).orElse(true);
  }

  /** Returns the time until the pause ends or, after it, until more requests may be open. */
  Duration untilNextChange(BackendServer server, long nowNanos) {
    return find(server).map(pause -> pause.untilNextChange(nowNanos)).orElse(Duration.ZERO);
  }

  /** Records a response of a server that asked for no pause. */
  void onResponse(BackendServer server) {
    find(server).ifPresent(pause -> pause.responses++);
  }

  /**
   * Ends the pause of a server if its time has come.
   *
   * @param openRequests the requests of this node that the server has not completed
   * @return how long the pause lasted; empty if it did not end now
   */
  Optional<Duration> end(BackendServer server, int openRequests, long nowNanos) {
    Optional<Pause> ended =
        find(server).filter(pause -> pause.active && nowNanos - pause.untilNanos >= 0);
    ended.ifPresent(pause -> pause.end(openRequests));
    return ended.map(pause -> Duration.ofNanos(nowNanos - pause.beganNanos));
  }

  /** Removes a server whose requests need no limit any more. */
  void removeReturned(BackendServer server, long nowNanos) {
    if (find(server)
        .filter(pause -> !pause.active && pause.returnSteps(nowNanos) >= RETURN_STEPS)
        .isPresent()) {
      pauses.remove(server.id());
    }
  }

  private Optional<Pause> find(BackendServer server) {
    return Optional.ofNullable(pauses.get(server.id()))
        .filter(pause -> pause.startedMillis == server.startedMillis());
  }
}
