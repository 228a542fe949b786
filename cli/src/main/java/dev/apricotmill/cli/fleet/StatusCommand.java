package dev.apricotmill.cli.fleet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
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
import dev.apricotmill.coordination.time.Deadline;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** Asks daemons for their status and shows the fleet on one screen. */
@Parameters(commandDescription = "Show daemons, replicas and the configuration in force")
public final class StatusCommand extends Command {
  private static final int MAXIMUM_WAIT_SECONDS = 3_600;
  private static final Duration POLL_PERIOD = Duration.ofSeconds(1);

  @Parameter(
      names = "--daemon",
      description =
          "Operators' port of a daemon as IP:PORT; may be repeated; all entry VMs if absent",
      converter = PeerAddressConverter.class)
  private List<PeerAddress> daemons = new ArrayList<>();

  @ParametersDelegate private final DaemonOptions daemonOptions = new DaemonOptions();

  @Parameter(names = "--all", description = "List every daemon, not only those that need a look")
  private boolean all;

  @Parameter(
      names = "--await-generation",
      description = "Wait until every daemon that was found has this generation or a newer one")
  private @Nullable Long awaitedGeneration;

  @Parameter(names = "--wait-seconds", description = "How long --await-generation waits, 0 to 3600")
  private int waitSeconds = 30;

  @Override
  public void check() {
    super.check();
    daemonOptions.check();
    if (waitSeconds < 0 || waitSeconds > MAXIMUM_WAIT_SECONDS) {
      throw new ParameterException("--wait-seconds must be 0 to " + MAXIMUM_WAIT_SECONDS);
    }
  }

  @Override
  public String helpText() {
    return """
        Without --daemon, the entry VMs in the platform's list are asked. One line for each zone
        comes first, then the daemons that need a look: silent, not ready, without the platform,
        or behind the newest generation that any daemon has in force.

        Example: apricotmill status
        Example: apricotmill status --await-generation 7
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
    if (awaitedGeneration != null) {
      return await(context, asked, awaitedGeneration, fleet);
    }
    if (fleet.answered() == 0) {
      return Failure.Kind.DAEMON_UNAVAILABLE.report(
          "none of " + asked.size() + " daemons told its status: " + fleet.firstReason(),
          "check the addresses; daemons listen for operators at --operators-address");
    }
    return fleet;
  }

  /** Asks again until all daemons have the generation or the time is over. */
  private Report await(
      CommandContext context,
      ImmutableList<DaemonOptions.NamedDaemon> asked,
      long generation,
      FleetStatus first) {
    Deadline deadline = context.timing().deadlineAfter(Duration.ofSeconds(waitSeconds));
    FleetStatus fleet = first;
    while (fleet.daemonsWith(generation) < asked.size()) {
      if (deadline.hasPassed(context.timing().nanoTime())) {
        return Failure.Kind.NOT_FINISHED.report(
            "%d of %d daemons have generation %d after %d s"
                .formatted(fleet.daemonsWith(generation), asked.size(), generation, waitSeconds),
            "apricotmill status shows those that are behind or silent");
      }
      context.pause(POLL_PERIOD);
      fleet = FleetStatus.of(ask(context, asked), all);
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
