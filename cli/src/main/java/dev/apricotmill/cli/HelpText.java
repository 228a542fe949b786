package dev.apricotmill.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommonOptions;
import dev.apricotmill.cli.command.ExitCode;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Writes the help of the program, of a group and of a command. */
final class HelpText {
  private static final ImmutableSet<String> HIDDEN_DEFAULTS =
      ImmutableSet.of("null", "false", "", "[]");
  private static final int COMMAND_COLUMN = 18;
  private static final int OPTION_COLUMN = 24;

  private final CommandTree tree;

  HelpText(CommandTree tree) {
    this.tree = tree;
  }

  /** Returns the help of the whole program. */
  String program() {
    StringBuilder text = new StringBuilder();
    text.append("apricotmill serves prompts of very unlike lengths on one fleet of engines.\n")
        .append("This program is its operators' command line.\n\n")
        .append("Usage: apricotmill COMMAND [OPTIONS]\n\nCommands:\n");
    appendCommands(text, "");
    text.append("\nEnvironment:\n")
        .append(column(CommonOptions.PLATFORM_VARIABLE, OPTION_COLUMN))
        .append("address of the platform as IP:PORT, instead of --platform\n")
        .append("\nExit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append(column(Integer.toString(code.number()), OPTION_COLUMN))
          .append(code.meaning())
          .append('\n');
    }
    return text.append("\nNext: apricotmill COMMAND --help explains one command.\n").toString();
  }

  /** Returns the help of a group of commands. */
  String group(String name) {
    StringBuilder text = new StringBuilder();
    text.append("Usage: apricotmill ").append(name).append(" COMMAND [OPTIONS]\n\nCommands:\n");
    appendCommands(text, name + " ");
    return text.append("\nNext: apricotmill ")
        .append(name)
        .append(" COMMAND --help explains one command.\n")
        .toString();
  }

  /** Returns the help of one command. */
  String command(String words, JCommander parser) {
    StringBuilder text = new StringBuilder();
    Optional<ParameterDescription> operand = Optional.ofNullable(parser.getMainParameterValue());
    text.append("Usage: apricotmill ").append(words);
    operand.ifPresent(value -> text.append(' ').append(value.getDescription().split(":", 2)[0]));
    text.append(" [OPTIONS]\n\n").append(description(parser)).append(".\n\n");
    operand.ifPresent(value -> text.append("  ").append(value.getDescription()).append("\n\n"));
    text.append("Options:\n");
    options(parser).forEach(option -> text.append(optionLine(option)));
    text.append('\n').append(((Command) parser.getObjects().get(0)).helpText());
    return text.toString();
  }

  private void appendCommands(StringBuilder text, String prefix) {
    for (Map.Entry<String, JCommander> entry : tree.commands().entrySet()) {
      if (entry.getKey().startsWith(prefix)) {
        text.append(column(entry.getKey(), COMMAND_COLUMN))
            .append(description(entry.getValue()))
            .append('\n');
      }
    }
  }

  /** Returns the options of a command by name. */
  static List<ParameterDescription> options(JCommander parser) {
    return parser.getParameters().stream()
        .sorted(Comparator.comparing(ParameterDescription::getLongestName))
        .toList();
  }

  private static String optionLine(ParameterDescription option) {
    String shownDefault = String.valueOf(option.getDefault());
    String suffix = HIDDEN_DEFAULTS.contains(shownDefault) ? "" : " (default " + shownDefault + ")";
    return column(option.getNames(), OPTION_COLUMN) + option.getDescription() + suffix + "\n";
  }

  static String description(JCommander parser) {
    return parser
        .getObjects()
        .get(0)
        .getClass()
        .getAnnotation(Parameters.class)
        .commandDescription();
  }

  private static String column(String text, int width) {
    return String.format("  %-" + width + "s ", text);
  }
}
