package dev.apricotmill.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import dev.apricotmill.cli.command.ExitCode;
import java.util.Optional;

/** Writes the reference of all commands that the page on the command line must contain. */
final class CommandReference {
  private CommandReference() {}

  static String render() {
    StringBuilder text = new StringBuilder("## Exit codes\n\n| code | meaning |\n| --- | --- |\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("| %d | %s |\n".formatted(code.number(), code.meaning()));
    }
    text.append("\n## Commands\n");
    new CommandTree().commands().forEach((words, parser) -> appendCommand(text, words, parser));
    return text.toString();
  }

  private static void appendCommand(StringBuilder text, String words, JCommander parser) {
    Optional<ParameterDescription> operand = Optional.ofNullable(parser.getMainParameterValue());
    String operandName =
        operand.map(value -> " " + value.getDescription().split(":", 2)[0]).orElse("");
    text.append("\n### apricotmill %s%s\n\n".formatted(words, operandName))
        .append(HelpText.description(parser))
        .append(".\n\n| option | meaning |\n| --- | --- |\n");
    HelpText.options(parser)
        .forEach(
            option ->
                text.append(
                    "| `%s` | %s |\n".formatted(option.getNames(), option.getDescription())));
  }
}
