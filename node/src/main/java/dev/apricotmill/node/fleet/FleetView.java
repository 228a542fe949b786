package dev.apricotmill.node.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * What a daemon knows of the fleet, as one immutable value that requests read without a lock.
 *
 * @param configuration the configuration in force
 * @param customersByKeyHash the customers by the SHA-256 of their key in hexadecimal
 * @param targetsByService the replicas of each service with their stewards
 * @param targetsByReplica the same by replica
 * @param liveEntryDaemons the daemons that are believed to take requests
 */
public record FleetView(
    Configuration configuration,
    ImmutableMap<String, Customer> customersByKeyHash,
    ImmutableMap<ServiceName, ImmutableList<ReplicaTarget>> targetsByService,
    ImmutableMap<ReplicaId, ReplicaTarget> targetsByReplica,
    int liveEntryDaemons) {

  /** The view of a daemon that knows nothing yet. */
  public static final FleetView EMPTY =
      new FleetView(Configuration.NONE, ImmutableMap.of(), ImmutableMap.of(), ImmutableMap.of(), 0);

  /** Returns the customer whose key has that hash. */
  public Optional<Customer> customerByKeyHash(String keyHash) {
    return Optional.ofNullable(customersByKeyHash.get(keyHash));
  }

  /** Returns the replicas of a service. */
  public ImmutableList<ReplicaTarget> targetsOf(ServiceName service) {
    return targetsByService.getOrDefault(service, ImmutableList.of());
  }

  /** Returns a replica. */
  public Optional<ReplicaTarget> target(ReplicaId replica) {
    return Optional.ofNullable(targetsByReplica.get(replica));
  }
}
