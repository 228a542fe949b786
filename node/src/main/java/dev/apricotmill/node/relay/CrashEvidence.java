package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The responses of this node's requests that engines broke off lately, kept for a new dispatcher.
 */
final class CrashEvidence {

  private static final Duration MAX_AGE = Duration.ofSeconds(30);
  private static final int MAX_ENTRIES = 256;

  private final Deque<Entry> entries = new ArrayDeque<>();

  private record Entry(
      ServiceName service, ReplicaId server, PromptParts promptParts, long atNanos) {

    Duration age(long nowNanos) {
      return Duration.ofNanos(nowNanos - atNanos);
    }
  }

  void add(ServiceName service, ReplicaId server, PromptParts promptParts, long nowNanos) {
    entries.addLast(new Entry(service, server, promptParts, nowNanos));
    if (entries.size() > MAX_ENTRIES) {
      entries.removeFirst();
    }
  }

  /** Returns reports on what was broken off in a pool, with their age. */
  ImmutableList<WorkReport> reports(ServiceName service, long nowNanos) {
    return entries.stream()
        .filter(entry -> entry.service().equals(service))
        .filter(entry -> entry.age(nowNanos).compareTo(MAX_AGE) < 0)
        .map(
            entry ->
                new WorkReport.BrokenOff(
                    service, entry.server(), entry.promptParts(), entry.age(nowNanos)))
        .collect(ImmutableList.toImmutableList());
  }
}
