package dev.apricotmill.node.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * A daemon's view of the fleet: an immutable value that requests read without a lock.
 *
 * @param configuration the current configuration
 * @param customersByKeyHash the customers by the hexadecimal SHA-256 of their key
 * @param targetsByService the replicas of each service with their stewards
 * @param targetsByReplica the same targets by replica
 * @param liveEntryDaemons the number of daemons that are assumed to accept requests
 */
public record FleetView(
    Configuration configuration,
    ImmutableMap<String, Customer> customersByKeyHash,
    ImmutableMap<ServiceName, ImmutableList<ReplicaTarget>> targetsByService,
    ImmutableMap<ReplicaId, ReplicaTarget> targetsByReplica,
    int liveEntryDaemons) {

  /** The view of a daemon that has no configuration yet. */
  public static final FleetView EMPTY =
      new FleetView(Configuration.NONE, ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), 0);

  /** Returns the customer with this key hash, empty if unknown. */
  public Optional<Customer> customerByKeyHash(String keyHash) {
    return Optional.ofNullable(customersByKeyHash.get(keyHash));
  }

  /** Returns the replicas of a service, none if it is unknown. */
  public ImmutableList<ReplicaTarget> targetsOf(ServiceName service) {
    return targetsByService.getOrDefault(service, ImmutableList.of());
  }

  /** Returns a replica, empty if unknown. */
  public Optional<ReplicaTarget> target(ReplicaId replica) {
    return Optional.ofNullable(targetsByReplica.get(replica));
  }
}
