package dev.apricotmill.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.Parameters;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableListMultimap;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import java.io.PrintWriter;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the completion of all commands and options for the shell. */
@Parameters(commandDescription = "Write the completion for bash")
final class CompletionCommand extends Command {
  private final CommandTree tree;

  CompletionCommand(CommandTree tree) {
    this.tree = tree;
  }

  @Override
  public String helpText() {
    return """
        Words, options and file names are completed.

        Example: apricotmill completion > /etc/bash_completion.d/apricotmill
        """;
  }

  @Override
  public Report run(CommandContext context) {
    return new Script(ExitCode.OK, script());
  }

  private String script() {
    StringBuilder text = new StringBuilder("_apricotmill() {\n");
    text.append("  local words=\"--help --version ").append(firstWords()).append("\"\n");
    text.append("  case \"${COMP_WORDS[1]} ${COMP_WORDS[2]}\" in\n");
    tree.commands().forEach((words, parser) -> appendOptions(text, words, parser));
    secondWords()
        .asMap()
        .forEach(
            (group, names) ->
                text.append(
                    "    \"%s \"*) words=\"%s --help\" ;;\n"
                        .formatted(group, String.join(" ", names))));
    return text.append("  esac\n")
        .append("  COMPREPLY=($(compgen -f -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n")
        .append("}\ncomplete -o filenames -F _apricotmill apricotmill\n")
        .toString();
  }

  /** Options are offered once the words of a command stand; groups come after in the script. */
  private static void appendOptions(StringBuilder text, String words, JCommander parser) {
    String options =
        HelpText.options(parser).stream()
            .map(ParameterDescription::getLongestName)
            .collect(Collectors.joining(" "));
    String pattern = words.contains(" ") ? "\"" + words + "\"" : "\"" + words + " \"*";
    text.append("    %s) words=\"%s\" ;;\n".formatted(pattern, options));
  }

  private String firstWords() {
    return tree.root().getCommands().keySet().stream().collect(Collectors.joining(" "));
  }

  private ImmutableListMultimap<String, String> secondWords() {
    return tree.commands().keySet().stream()
        .map(words -> Splitter.on(' ').splitToList(words))
        .filter(words -> words.size() == 2)
        .map(words -> Map.entry(words.get(0), words.get(1)))
        .collect(
            ImmutableListMultimap.toImmutableListMultimap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /**
   * The script.
   *
   * @param exitCode the code that the process exits with
   * @param script the text to be sourced by the shell
   */
  record Script(ExitCode exitCode, String script) implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.print(script);
    }
  }
}
