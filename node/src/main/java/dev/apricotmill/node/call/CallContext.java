package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.ledger.Claims;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.PlainService;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.fleet.ReplicaTarget;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The objects that all calls of plain services share.
 *
 * @param timing time and the scheduler
 * @param zone the daemon's availability zone
 * @param self supplies the daemon's current incarnation
 * @param fleet supplies the current view of the fleet
 * @param services calls the services
 * @param claims records claims of idempotency keys
 * @param mayBeRunning whether a daemon's incarnation may still be running
 * @param retryBudget bounds retries to a share of the requests
 * @param random the source of random choices
 */
public record CallContext(
    Timing timing,
    Zone zone,
    Supplier<Incarnation> self,
    Supplier<FleetView> fleet,
    PlainService services,
    Claims claims,
    Predicate<Incarnation> mayBeRunning,
    RetryBudget retryBudget,
    RandomGenerator random) {

  /**
   * Returns the usable replicas of a service, own zone first, in random order within each group.
   */
  ImmutableList<Replica> candidates(ServiceName service) {
    List<Replica> sameZone = new ArrayList<>();
    List<Replica> otherZones = new ArrayList<>();
    for (ReplicaTarget target : fleet.get().targetsOf(service)) {
      if (target.usable()) {
        (target.replica().zone().equals(zone) ? sameZone : otherZones).add(target.replica());
      }
    }
    shuffle(sameZone);
    shuffle(otherZones);
    return ImmutableList.<Replica>builder().addAll(sameZone).addAll(otherZones).build();
  }

  private void shuffle(List<Replica> replicas) {
    Collections.shuffle(replicas, new Random(random.nextLong()));
  }
}
