package dev.apricotmill.cli.fleet;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.cli.fleet.DaemonStatus.ReplicaStatus;
import java.io.PrintWriter;
import java.util.Collection;

/**
 * The sums of one availability zone.
 *
 * @param zone the zone
 * @param daemons its daemons that answered
 * @param ready those of them that take requests
 * @param openRequests requests that callers wait for
 * @param replicas its replicas
 * @param usableReplicas those of them that may get new work
 * @param queuedRequests requests that wait for a replica
 * @param reservedPercent the share of KV memory that is reserved
 */
record ZoneSummary(
    String zone,
    int daemons,
    int ready,
    int openRequests,
    int replicas,
    int usableReplicas,
    int queuedRequests,
    int reservedPercent) {

  static ZoneSummary of(String zone, Collection<DaemonStatus> daemons) {
    ImmutableMap<String, ReplicaStatus> replicas = replicas(daemons);
    long memory = replicas.values().stream().mapToLong(ReplicaStatus::memoryTokens).sum();
    long reserved = replicas.values().stream().mapToLong(ReplicaStatus::reservedTokens).sum();
    return new ZoneSummary(
        zone,
        daemons.size(),
        (int) daemons.stream().filter(each -> each.phase() == DaemonStatus.Phase.READY).count(),
        daemons.stream().mapToInt(DaemonStatus::openRequests).sum(),
        replicas.size(),
        (int) replicas.values().stream().filter(ReplicaStatus::usable).count(),
        replicas.values().stream().mapToInt(ReplicaStatus::queuedRequests).sum(),
        memory == 0 ? 0 : (int) (100 * reserved / memory));
  }

  /** Returns each replica as its own steward sees it, or else as any daemon does. */
  private static ImmutableMap<String, ReplicaStatus> replicas(Collection<DaemonStatus> daemons) {
    ImmutableMap.Builder<String, ReplicaStatus> byName = ImmutableMap.builder();
    for (DaemonStatus daemon : daemons) {
      daemon.replicas().forEach(replica -> byName.put(replica.replica(), replica));
    }
    for (DaemonStatus daemon : daemons) {
      daemon.replicas().stream()
          .filter(replica -> replica.steward().equals(daemon.daemon()))
          .forEach(replica -> byName.put(replica.replica(), replica));
    }
    return byName.buildKeepingLast();
  }

  static void printHeader(PrintWriter out) {
    out.printf(
        "%-14s  %9s  %8s  %15s  %6s  %8s%n",
        "ZONE", "READY", "REQUESTS", "USABLE REPLICAS", "QUEUED", "KV USED");
  }

  void print(PrintWriter out) {
    out.printf(
        "%-14s  %9s  %8d  %15s  %6d  %7d%%%n",
        zone,
        ready + "/" + daemons,
        openRequests,
        usableReplicas + "/" + replicas,
        queuedRequests,
        reservedPercent);
  }
}
