package dev.apricotmill.cli.fleet;

import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.Optional;

/** Follows the drain of one daemon and prints its progress. */
final class DrainFollower {
  private static final Duration POLL_PERIOD = Duration.ofSeconds(1);
  private static final Duration PROGRESS_PERIOD = Duration.ofSeconds(5);

  private final CommandContext context;
  private final PeerAddress address;
  private final String name;
  private final Duration timeout;
  private Optional<DaemonStatus> last = Optional.empty();
  private Duration lastProgress = PROGRESS_PERIOD.negated();

  DrainFollower(CommandContext context, PeerAddress address, String name, Duration timeout) {
    this.context = context;
    this.address = address;
    this.name = name;
    this.timeout = timeout;
  }

  /** Waits until the daemon is drained, has ended, or the time is over. */
  Report follow(Duration wait) {
    long start = context.timing().nanoTime();
    while (true) {
      Duration elapsed = Duration.ofNanos(context.timing().nanoTime() - start);
      DaemonReply reply =
          DaemonReply.of(
              context.await(context.connections().operatorPort().get(address, "/status", timeout)));
      if (reply instanceof DaemonReply.Silent silent
          && silent.reason() == DaemonReply.Reason.UNREACHABLE) {
        return ended(elapsed);
      }
      if (reply instanceof DaemonReply.Told told) {
        last = Optional.of(told.status());
        if (told.status().phase() == DaemonStatus.Phase.DRAINED) {
          return new Drained(ExitCode.OK, name, elapsed);
        }
      }
      if (elapsed.compareTo(wait) >= 0) {
        return unfinished(elapsed);
      }
      showProgress(elapsed);
      context.pause(POLL_PERIOD);
    }
  }

  private void showProgress(Duration elapsed) {
    if (elapsed.minus(lastProgress).compareTo(PROGRESS_PERIOD) >= 0) {
      lastProgress = elapsed;
      context.progress(
          name + ": " + openRequests() + " requests in flight after " + elapsed.toSeconds() + " s");
    }
  }

  private Report ended(Duration elapsed) {
    if (last.isPresent() && last.get().openRequests() == 0) {
      return new Drained(ExitCode.OK, name, elapsed);
    }
    return Failure.Kind.NOT_FINISHED.report(
        name
            + " ended while it drained; "
            + openRequests()
            + " requests were in flight when last "
            + "seen",
        "its log tells whether they finished; callers were told their outcomes");
  }

  private Report unfinished(Duration elapsed) {
    return Failure.Kind.NOT_FINISHED.report(
        name
            + " still has "
            + openRequests()
            + " requests in flight after "
            + elapsed.toSeconds()
            + " s; the drain goes on",
        "apricotmill drain " + name + " follows it again");
  }

  private String openRequests() {
    return last.map(status -> Integer.toString(status.openRequests()))
        .orElse("an unknown number of");
  }

  /**
   * The daemon is drained.
   *
   * @param exitCode the code that the process exits with
   * @param daemon the daemon
   * @param elapsed how long it took
   */
  record Drained(ExitCode exitCode, String daemon, Duration elapsed) implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.println(daemon + ": drained after " + elapsed.toSeconds() + " s");
    }
  }
}
