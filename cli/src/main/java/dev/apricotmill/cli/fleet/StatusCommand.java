package dev.apricotmill.cli.fleet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.cli.command.PeerAddressConverter;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Asks daemons for their status and shows the fleet on one screen. */
@Parameters(commandDescription = "Show daemons, replicas and the configuration in force")
public final class StatusCommand extends Command {
  @Parameter(
      names = "--daemon",
      description =
          "Operators' port of a daemon as IP:PORT; may be repeated; all entry VMs if absent",
      converter = PeerAddressConverter.class)
  private List<PeerAddress> daemons = new ArrayList<>();

  @ParametersDelegate private final DaemonOptions daemonOptions = new DaemonOptions();

  @Parameter(names = "--all", description = "List every daemon, not only those that need a look")
  private boolean all;

  @Override
  public void check() {
    super.check();
    daemonOptions.check();
  }

  @Override
  public String helpText() {
    return """
        Without --daemon, the entry VMs in the platform's list are asked. One line for each zone
        comes first, then the daemons that need a look: silent, not ready, without the platform,
        or behind the newest generation that any daemon has in force.

        Example: apricotmill status
        Example: apricotmill status --daemon 10.1.1.5:9090 --daemon 10.1.2.5:9090 --output json
        """;
  }

  @Override
  public Report run(CommandContext context) {
    DaemonOptions.Found found =
        daemons.isEmpty()
            ? daemonOptions.find(context, options())
            : DaemonOptions.Found.at(daemons);
    if (found instanceof DaemonOptions.Found.None none) {
      return none.failure();
    }
    ImmutableList<DaemonOptions.NamedDaemon> asked =
        ((DaemonOptions.Found.Daemons) found).daemons();
    FleetStatus fleet = FleetStatus.of(ask(context, asked), all);
    if (fleet.answered() == 0) {
      return Failure.Kind.DAEMON_UNAVAILABLE.report(
          "none of " + asked.size() + " daemons told its status: " + fleet.firstReason(),
          "check the addresses; daemons listen for operators at --operators-address");
    }
    return fleet;
  }

  private ImmutableList<FleetStatus.Entry> ask(
      CommandContext context, List<DaemonOptions.NamedDaemon> asked) {
    List<CompletionStage<OperatorAnswer>> calls =
        asked.stream()
            .map(
                daemon ->
                    context
                        .connections()
                        .operatorPort()
                        .get(daemon.address(), "/status", options().timeout()))
            .toList();
    ImmutableList.Builder<FleetStatus.Entry> entries = ImmutableList.builder();
    for (int index = 0; index < asked.size(); index++) {
      DaemonReply reply = DaemonReply.of(context.await(calls.get(index)));
      entries.add(FleetStatus.Entry.of(asked.get(index), reply));
    }
    return entries.build();
  }
}
