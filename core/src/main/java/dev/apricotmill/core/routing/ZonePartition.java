package dev.apricotmill.core.routing;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import java.util.Set;

/**
 * The usable replicas of one snapshot, partitioned into those of the own zone and all others.
 *
 * @param source the partitioned snapshot
 * @param sameZone the usable replicas of the own zone
 * @param otherZones the usable replicas of other zones
 * @param smallestMemoryTokens the smallest memory that any of them has reported, in tokens
 */
record ZonePartition(
    ImmutableList<ReplicaView> source,
    ImmutableList<ReplicaView> sameZone,
    ImmutableList<ReplicaView> otherZones,
    long smallestMemoryTokens) {

  static ZonePartition of(ImmutableList<ReplicaView> source, Zone ownZone) {
    ImmutableList.Builder<ReplicaView> sameZone = ImmutableList.builder();
    ImmutableList.Builder<ReplicaView> otherZones = ImmutableList.builder();
    long smallest = Long.MAX_VALUE;
    for (ReplicaView view : source) {
      if (view.usable()) {
        (view.zone().equals(ownZone) ? sameZone : otherZones).add(view);
        long memory = view.load().memoryTokens();
        smallest = memory > 0 ? Math.min(smallest, memory) : smallest;
      }
    }
    return new ZonePartition(source, sameZone.build(), otherZones.build(), smallest);
  }

  /** Returns the partition without replicas that were tried or cannot hold the request at all. */
  ZonePartition candidates(GenerationRequest request, Set<ReplicaId> tried) {
    if (tried.isEmpty() && request.memoryTokens() <= smallestMemoryTokens) {
      return this;
    }
    return new ZonePartition(
        source,
        candidates(sameZone, request, tried),
        candidates(otherZones, request, tried),
        smallestMemoryTokens);
  }

  boolean isEmpty() {
    return sameZone.isEmpty() && otherZones.isEmpty();
  }

  /**
   * Returns whether a replica has enough memory in total for the request; true if its memory is not
   * known yet.
   */
  static boolean fits(ReplicaView view, GenerationRequest request) {
    long memory = view.load().memoryTokens();
    return memory == 0 || request.memoryTokens() <= memory;
  }

  private static ImmutableList<ReplicaView> candidates(
      ImmutableList<ReplicaView> views, GenerationRequest request, Set<ReplicaId> tried) {
    return views.stream()
        .filter(view -> fits(view, request) && !tried.contains(view.replica()))
        .collect(ImmutableList.toImmutableList());
  }
}
