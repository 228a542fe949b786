package dev.apricotmill.core.pool;

import com.google.common.collect.Comparators;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What one node has sent to each server in the last second.
 *
 * <p>Handles a server that turns cold under load: requests that were sent before count as well. Not
 * thread-safe.
 */
public final class SendWindows {

  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final Map<ReplicaId, Deque<Long>> sentNanos = new HashMap<>();

  /** Records a request, whatever was sent before. */
  public void record(ReplicaId server, long nowNanos) {
    Deque<Long> sent = sentNanos.computeIfAbsent(server, id -> new ArrayDeque<>());
    removeOld(sent, nowNanos);
    sent.addLast(nowNanos);
  }

  /** Records a request and returns true if at most {@code limit} were sent within a second. */
  public boolean tryTake(ReplicaId server, int limit, long nowNanos) {
    if (timeUntilFree(server, limit, nowNanos).filter(Duration::isZero).isEmpty()) {
      return false;
    }
    record(server, nowNanos);
    return true;
  }

  /** Returns the time until a request may be sent; empty if none may with this limit. */
  public Optional<Duration> timeUntilFree(ReplicaId server, int limit, long nowNanos) {
    if (limit <= 0) {
      return Optional.empty();
    }
    Deque<Long> sent = sentNanos.get(server);
    if (sent == null) {
      return Optional.of(Duration.ZERO);
    }
    removeOld(sent, nowNanos);
    if (sent.size() < limit) {
      return Optional.of(Duration.ZERO);
    }
    long firstToLeave = sent.stream().skip(sent.size() - (long) limit).findFirst().orElse(nowNanos);
    return Optional.of(
        Comparators.max(
            Duration.ofNanos(1), Duration.ofNanos(firstToLeave - nowNanos).plus(WINDOW)));
  }

  /** Forgets other servers. */
  public void retainAll(Set<ReplicaId> servers) {
    sentNanos.keySet().retainAll(servers);
  }

  private static void removeOld(Deque<Long> sent, long nowNanos) {
    while (!sent.isEmpty() && nowNanos - sent.getFirst() > WINDOW.toNanos()) {
      sent.removeFirst();
    }
  }
}
