package dev.apricotmill.cli.fleet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.cli.command.OperandValidator;
import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.cli.command.PeerAddressConverter;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.Optional;

/** Drains one daemon and follows it until its last request has ended. */
@Parameters(commandDescription = "Stop new work at a daemon and wait until its requests have ended")
public final class DrainCommand extends Command {
  private static final int MAXIMUM_WAIT_SECONDS = 86_400;

  @Parameter(
      required = true,
      validateWith = OperandValidator.class,
      description = "DAEMON: its name in the platform's list, or its operators' port as IP:PORT")
  private String daemon = "";

  @ParametersDelegate private final DaemonOptions daemonOptions = new DaemonOptions();

  @Parameter(names = "--wait-seconds", description = "How long to follow the drain, 0 to 86400")
  private int waitSeconds = 600;

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
        The daemon takes no new requests, its duties pass to others, and requests in flight finish
        there. Progress lines go to the error output. The drain goes on when this command ends.

        Example: apricotmill drain vm-entry-3
        Example: apricotmill drain 10.1.1.5:9090 --wait-seconds 60
        """;
  }

  @Override
  public Report run(CommandContext context) {
    DaemonOptions.Found found = address(context);
    if (found instanceof DaemonOptions.Found.None none) {
      return none.failure();
    }
    PeerAddress address = ((DaemonOptions.Found.Daemons) found).daemons().get(0).address();
    OperatorAnswer answer =
        context.await(
            context.connections().operatorPort().post(address, "/drain", options().timeout()));
    if (answer instanceof OperatorAnswer.Unreachable) {
      return Failure.Kind.DAEMON_UNAVAILABLE.report(
          daemon + " cannot be reached; nothing was changed",
          "if the process still runs there, end it with SIGTERM, which drains it too");
    }
    if (answer instanceof OperatorAnswer.Answered answered && answered.status() / 100 != 2) {
      return Failure.Kind.DAEMON_REFUSED.report(
          daemon + " refused to drain (HTTP " + answered.status() + ")",
          "check that the address is that of the operators' port");
    }
    return new DrainFollower(context, address, daemon, options().timeout())
        .follow(Duration.ofSeconds(waitSeconds));
  }

  private DaemonOptions.Found address(CommandContext context) {
    Optional<PeerAddress> address = PeerAddressConverter.parse(daemon);
    return address.isPresent()
        ? DaemonOptions.Found.only(daemon, address.get())
        : daemonOptions.findNamed(context, options(), daemon);
  }
}
