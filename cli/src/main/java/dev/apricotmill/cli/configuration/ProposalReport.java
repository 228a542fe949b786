package dev.apricotmill.cli.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import java.io.PrintWriter;
import java.util.Optional;

/** Tells what became of a proposed configuration. */
public final class ProposalReport {
  private ProposalReport() {}

  /**
   * What was proposed, to be named in the report.
   *
   * @param source the file that it came from
   * @param retryCommand the command that proposes the same change again
   * @param afterConflict what the operator may do after a conflict
   * @param differences what it changes
   * @param warnings what the operator should look at
   */
  public record Proposal(
      String source,
      String retryCommand,
      String afterConflict,
      ImmutableList<Difference> differences,
      ImmutableList<FaultLine> warnings) {}

  /** Returns the report of the platform's answer. */
  public static Report of(ChangeResult result, Proposal proposal) {
    if (result instanceof ChangeResult.Accepted accepted) {
      return new Applied(
          ExitCode.OK,
          HeadSummary.of(accepted.head()),
          proposal.differences(),
          proposal.warnings());
    }
    if (result instanceof ChangeResult.ConflictsWith conflict) {
      return new Conflict(
          ExitCode.CONFLICT,
          proposal.source(),
          Optional.of(HeadSummary.of(conflict.other())).filter(head -> head.generation() > 0),
          Optional.of(HeadSummary.of(conflict.current())).filter(head -> head.generation() > 0),
          proposal.afterConflict());
    }
    if (result instanceof ChangeResult.Undetermined undetermined) {
      return new Undetermined(
          ExitCode.UNDETERMINED, undetermined.changeId(), proposal.retryCommand());
    }
    if (result instanceof ChangeResult.PartTooLarge large) {
      return new Failure(
          ExitCode.DATA,
          Failure.Kind.UNREADABLE_CONFIGURATION,
          "part " + large.partName() + " has " + large.size() + " bytes, too many",
          "split the configuration's longest names or lists");
    }
    return ConfigurationClient.unavailable(((ChangeResult.Unavailable) result).failure());
  }

  /**
   * The configuration was accepted.
   *
   * @param exitCode the code that the process exits with
   * @param head the accepted generation
   * @param differences what changed
   * @param warnings what the operator should look at
   */
  record Applied(
      ExitCode exitCode,
      HeadSummary head,
      ImmutableList<Difference> differences,
      ImmutableList<FaultLine> warnings)
      implements Report {
    private static final int SHOWN_DIFFERENCES = 20;

    @Override
    public void printText(PrintWriter out) {
      warnings.forEach(warning -> warning.print(out));
      differences.stream()
          .limit(SHOWN_DIFFERENCES)
          .forEach(difference -> DiffReport.print(difference, out));
      if (differences.size() > SHOWN_DIFFERENCES) {
        out.println("... and " + (differences.size() - SHOWN_DIFFERENCES) + " more changes");
      }
      out.println("accepted as " + head);
      out.println(
          "Next: apricotmill status --await-generation %d waits until all daemons have it in force"
              .formatted(head.generation()));
    }
  }

  /**
   * Another change came first.
   *
   * @param exitCode the code that the process exits with
   * @param source the file that was not applied
   * @param other the change that took the expected place
   * @param current the configuration that stands now
   * @param nextStep what the operator may do
   */
  public record Conflict(
      ExitCode exitCode,
      String source,
      Optional<HeadSummary> other,
      Optional<HeadSummary> current,
      String nextStep)
      implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.println(source + ": not applied, another change came first");
      other.ifPresent(head -> out.println("  the other change: " + head));
      current
          .filter(head -> !other.equals(current))
          .ifPresent(head -> out.println("  in force now: " + head));
      out.println("Next: " + nextStep);
    }
  }

  /**
   * The change may have been accepted or may still be.
   *
   * @param exitCode the code that the process exits with
   * @param changeId the identifier of the change
   * @param retryCommand the command that finds out
   */
  record Undetermined(ExitCode exitCode, String changeId, String retryCommand) implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.println("the platform's answer was lost: change " + changeId + " may be accepted or not");
      out.println("Known: it is accepted at most once, whole or not at all");
      out.println("Next: " + retryCommand);
      out.println("      repeats the same change and tells what became of it");
    }
  }
}
