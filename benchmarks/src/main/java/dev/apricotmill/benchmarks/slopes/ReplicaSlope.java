package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.node.fleet.FleetAssembler;
import dev.apricotmill.node.fleet.FleetView;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;

/** What a change of membership costs a daemon: choosing the steward of every replica anew. */
final class ReplicaSlope {

  private static final int DAEMONS = 350;
  private static final int CUSTOMERS = 35_000;
  private static final int WARM_UPS = 20;
  private static final int ROUNDS = 20;

  private ReplicaSlope() {}

  static void print(PrintStream out, List<Integer> sizes) {
    out.println("Replicas: stewards chosen anew after a change of membership, 350 daemons");
    out.printf("%10s %16s%n", "replicas", "processor ms");
    MembershipView members = members();
    for (int size : sizes) {
      Configuration configuration = FleetConfiguration.of(size, CUSTOMERS);
      FleetView first = assemble(configuration, members, FleetView.EMPTY);
      for (int round = 0; round < WARM_UPS; round++) {
        assemble(configuration, members, first);
      }
      long start = Cost.processorNanos();
      for (int round = 0; round < ROUNDS; round++) {
        assemble(configuration, members, first);
      }
      double milliseconds = (Cost.processorNanos() - start) / 1e6 / ROUNDS;
      out.printf("%10d %16.2f%n", size, milliseconds);
    }
  }

  private static FleetView assemble(
      Configuration configuration, MembershipView members, FleetView previous) {
    return FleetAssembler.assemble(
        configuration, members, ImmutableSet.of(), Instant.EPOCH, previous);
  }

  private static MembershipView members() {
    ImmutableSortedMap.Builder<DaemonId, Member> members = ImmutableSortedMap.naturalOrder();
    for (int index = 0; index < DAEMONS; index++) {
      DaemonId daemon = new DaemonId("entry-" + index);
      members.put(
          daemon,
          new Member(
              new Incarnation(daemon, 1),
              FleetConfiguration.zone(index),
              new PeerAddress("127.0.0.1", 1),
              MemberState.ALIVE));
    }
    return new MembershipView(members.buildOrThrow());
  }
}
