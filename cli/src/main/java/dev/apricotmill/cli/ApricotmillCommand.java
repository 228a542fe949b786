package dev.apricotmill.cli;

import com.beust.jcommander.ParameterException;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;

/** The operators' command line. */
public final class ApricotmillCommand {
  private static final String VERSION = "0.1.0";

  private final Function<PrintWriter, CommandContext> contexts;
  private final PrintWriter out;
  private final PrintWriter err;

  /**
   * Creates a command line.
   *
   * @param contexts gives the context for a writer of progress lines
   * @param out where reports and help go
   * @param err where progress lines and mistakes in the command line go
   */
  public ApricotmillCommand(
      Function<PrintWriter, CommandContext> contexts, PrintWriter out, PrintWriter err) {
    this.contexts = contexts;
    this.out = out;
    this.err = err;
  }

  /** Runs one command and exits with its code. */
  public static void main(String[] arguments) {
    PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    ExitCode exitCode;
    try (HttpConnections connections = HttpConnections.open()) {
      ApricotmillCommand program =
          new ApricotmillCommand(
              progress -> connections.context(ImmutableMap.copyOf(System.getenv()), progress),
              out,
              err);
      exitCode = program.run(arguments);
    }
    System.exit(exitCode.number());
  }

  /** Runs the command that the arguments call for and prints its report. */
  public ExitCode run(String... arguments) {
    CommandTree tree = new CommandTree();
    HelpText help = new HelpText(tree);
    try {
      tree.root().parse(arguments);
    } catch (ParameterException e) {
      return wrongUsage(tree, e);
    }
    if (tree.rootOptions().version()) {
      out.println(CommandTree.PROGRAM + " " + VERSION);
      return ExitCode.OK;
    }
    Optional<Command> command = tree.parsedCommand();
    if (command.isEmpty()) {
      return showOverview(tree, help);
    }
    String words = words(tree);
    if (command.get().options().help()) {
      out.print(help.command(words, tree.parsed()));
      out.flush();
      return ExitCode.OK;
    }
    return run(command.get(), tree);
  }

  private ExitCode run(Command command, CommandTree tree) {
    Report report;
    try {
      command.check();
      report = command.run(contexts.apply(err));
    } catch (ParameterException e) {
      return wrongUsage(tree, e);
    } catch (RuntimeException e) {
      return internalFault(e);
    }
    command.options().output().print(report, out);
    out.flush();
    return report.exitCode();
  }

  private ExitCode showOverview(CommandTree tree, HelpText help) {
    Optional<CommandTree.GroupOptions> group = tree.parsedGroup();
    boolean asked =
        tree.rootOptions().help() || group.map(CommandTree.GroupOptions::help).orElse(false);
    PrintWriter writer = asked ? out : err;
    writer.print(group.isPresent() ? help.group(tree.root().getParsedCommand()) : help.program());
    writer.flush();
    return asked ? ExitCode.OK : ExitCode.USAGE;
  }

  private ExitCode internalFault(RuntimeException fault) {
    err.println(CommandTree.PROGRAM + ": the program itself failed");
    fault.printStackTrace(err);
    err.println("Next: report this output; apricotmill config history shows what was accepted");
    err.flush();
    return ExitCode.INTERNAL;
  }

  private ExitCode wrongUsage(CommandTree tree, ParameterException problem) {
    err.println(CommandTree.PROGRAM + ": " + problem.getMessage());
    String words = words(tree);
    err.println("Next: " + CommandTree.PROGRAM + (words.isEmpty() ? "" : " " + words) + " --help");
    err.flush();
    return ExitCode.USAGE;
  }

  /** Returns the words of the command as far as it was parsed. */
  private static String words(CommandTree tree) {
    String group = tree.root().getParsedCommand();
    if (group == null) {
      return "";
    }
    String name = tree.root().getCommands().get(group).getParsedCommand();
    return name == null ? group : group + " " + name;
  }
}
