package dev.apricotmill.node.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.configuration.StopSchedule;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Instant;
import java.util.Optional;

/** Builds a {@link FleetView} from configuration, membership and leaving machines. */
public final class FleetAssembler {

  private FleetAssembler() {}

  /**
   * Builds a view.
   *
   * @param configuration the current configuration
   * @param members the known daemons
   * @param leavingMachines the names of the VMs that are leaving
   * @param now the time at which planned stops are evaluated
   * @param previous the previous view; its index of customers is reused for the same generation
   */
  public static FleetView assemble(
      Configuration configuration,
      MembershipView members,
      ImmutableSet<String> leavingMachines,
      Instant now,
      FleetView previous) {
    ImmutableSet<String> stoppedMachines =
        new StopSchedule(configuration.plannedStops(), leavingMachines).stoppedAt(now);
    ImmutableMap.Builder<ServiceName, ImmutableList<ReplicaTarget>> targets =
        ImmutableMap.builder();
    ImmutableMap.Builder<ReplicaId, ReplicaTarget> byReplica = ImmutableMap.builder();
    for (Service service : configuration.services().values()) {
      ImmutableList.Builder<ReplicaTarget> ofService = ImmutableList.builder();
      for (Replica replica : service.replicas()) {
        ReplicaTarget target = target(service, replica, members, stoppedMachines);
        ofService.add(target);
        byReplica.put(replica.id(), target);
      }
      targets.put(service.name(), ofService.build());
    }
    return new FleetView(
        configuration,
        indexCustomers(configuration, previous),
        targets.buildOrThrow(),
        byReplica.buildKeepingLast(),
        members.owners().size());
  }

  private static ReplicaTarget target(
      Service service,
      Replica replica,
      MembershipView members,
      ImmutableSet<String> stoppedMachines) {
    Optional<Member> steward = members.owner(replica.zone(), replica.id().value());
    boolean usable = !stoppedMachines.contains(replica.machine());
    return new ReplicaTarget(service, replica, steward, usable);
  }

  private static ImmutableMap<String, Customer> indexCustomers(
      Configuration configuration, FleetView previous) {
    if (configuration.generation() == previous.configuration().generation()) {
      return previous.customersByKeyHash();
    }
    ImmutableMap.Builder<String, Customer> byKeyHash = ImmutableMap.builder();
    for (Customer customer : configuration.customers().values()) {
      byKeyHash.put(customer.keyHash(), customer);
    }
    return byKeyHash.buildKeepingLast();
  }
}
