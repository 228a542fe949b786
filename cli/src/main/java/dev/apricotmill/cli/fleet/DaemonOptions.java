package dev.apricotmill.cli.fleet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.CommonOptions;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import java.util.List;
import java.util.Optional;

/** Finds daemons through the platform's list of VMs. */
public final class DaemonOptions {
  private static final int DEFAULT_OPERATORS_PORT = 9090;

  @Parameter(
      names = "--operators-port",
      description = "Operators' port of daemons that are found through the platform's list")
  private int operatorsPort = DEFAULT_OPERATORS_PORT;

  /** The answer to looking for daemons. */
  sealed interface Found {
    /**
     * The operators' ports of the daemons.
     *
     * @param daemons the addresses
     */
    record Daemons(ImmutableList<NamedDaemon> daemons) implements Found {}

    /**
     * No daemon can be asked.
     *
     * @param failure what to tell the operator
     */
    record None(Failure failure) implements Found {}

    /** Returns the one daemon at an address. */
    static Found only(String name, PeerAddress address) {
      return new Daemons(ImmutableList.of(new NamedDaemon(name, address)));
    }

    /** Returns the daemons at the addresses. */
    static Found at(List<PeerAddress> addresses) {
      return new Daemons(
          addresses.stream()
              .map(address -> new NamedDaemon(address.toString(), address))
              .collect(ImmutableList.toImmutableList()));
    }
  }

  /**
   * A daemon to ask.
   *
   * @param name its name, its address if the name is not known
   * @param address its operators' port
   */
  record NamedDaemon(String name, PeerAddress address) {}

  void check() {
    if (operatorsPort < 1 || operatorsPort > 0xFFFF) {
      throw new ParameterException("--operators-port must be 1 to 65535");
    }
  }

  /** Returns the daemons on all entry VMs that the platform lists. */
  Found find(CommandContext context, CommonOptions options) {
    Optional<PeerAddress> platform = options.platform(context.environment());
    if (platform.isEmpty()) {
      return new Found.None(
          Failure.Kind.NO_DAEMONS.report(
              "neither daemons nor the platform are named",
              "give --platform IP:PORT, or addresses: apricotmill status --daemon IP:PORT,"
                  + " apricotmill drain IP:PORT"));
    }
    return listed(
        context.await(context.connections().platform(platform.get()).machines(options.timeout())));
  }

  /** Returns the daemon of that name in the platform's list. */
  Found findNamed(CommandContext context, CommonOptions options, String name) {
    Found found = find(context, options);
    if (!(found instanceof Found.Daemons all)) {
      return found;
    }
    return all.daemons().stream()
        .filter(daemon -> daemon.name().equals(name))
        .findFirst()
        .map(daemon -> Found.only(name, daemon.address()))
        .orElseGet(
            () ->
                new Found.None(
                    Failure.Kind.NO_DAEMONS.report(
                        "the platform lists no entry VM named " + name,
                        "apricotmill status lists the daemons; or give the address as IP:PORT")));
  }

  private Found listed(MachineListResult result) {
    if (!(result instanceof MachineListResult.Listed listed)) {
      return new Found.None(
          Failure.Kind.PLATFORM_UNAVAILABLE.report(
              "the platform gave no list of VMs ("
                  + ((MachineListResult.Unavailable) result).failure()
                  + ")",
              "name daemons by their address IP:PORT"));
    }
    ImmutableList<NamedDaemon> found =
        listed.machines().stream()
            .filter(machine -> machine.role() == Machine.Role.ENTRY)
            .map(machine -> new NamedDaemon(machine.name(), operatorsAddress(machine)))
            .collect(ImmutableList.toImmutableList());
    return found.isEmpty()
        ? new Found.None(
            Failure.Kind.NO_DAEMONS.report(
                "the platform lists no entry VM", "name daemons by their address IP:PORT"))
        : new Found.Daemons(found);
  }

  private PeerAddress operatorsAddress(Machine machine) {
    return new PeerAddress(HostAndPort.fromString(machine.address()).getHost(), operatorsPort);
  }
}
