package dev.apricotmill.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.configuration.ConfigApplyCommand;
import dev.apricotmill.cli.configuration.ConfigCheckCommand;
import dev.apricotmill.cli.configuration.ConfigDiffCommand;
import dev.apricotmill.cli.configuration.ConfigHistoryCommand;
import dev.apricotmill.cli.configuration.ConfigShowCommand;
import dev.apricotmill.cli.fleet.DrainCommand;
import dev.apricotmill.cli.fleet.StatusCommand;
import dev.apricotmill.cli.sheet.SheetApplyCommand;
import dev.apricotmill.cli.sheet.SheetCheckCommand;
import dev.apricotmill.cli.sheet.SheetShowCommand;
import java.util.Map;
import java.util.Optional;

/** All commands, in groups, as JCommander parses them. */
final class CommandTree {
  /** The name of the program. */
  static final String PROGRAM = "apricotmill";

  private final RootOptions rootOptions = new RootOptions();
  private final ImmutableMap<String, GroupOptions> groups =
      ImmutableMap.of(
          "config", new GroupOptions("Check, apply, show and compare configurations"),
          "sheet", new GroupOptions("Check, apply and show the morning sheet"));
  private final JCommander root =
      JCommander.newBuilder().programName(PROGRAM).addObject(rootOptions).build();

  CommandTree() {
    groups.forEach(root::addCommand);
    add("config", "check", new ConfigCheckCommand());
    add("config", "apply", new ConfigApplyCommand());
    add("config", "show", new ConfigShowCommand());
    add("config", "history", new ConfigHistoryCommand());
    add("config", "diff", new ConfigDiffCommand());
    add("sheet", "check", new SheetCheckCommand());
    add("sheet", "apply", new SheetApplyCommand());
    add("sheet", "show", new SheetShowCommand());
    add("", "status", new StatusCommand());
    add("", "drain", new DrainCommand());
    add("", "completion", new CompletionCommand(this));
  }

  private void add(String group, String name, Command command) {
    parser(group).addCommand(name, command);
  }

  /** Returns the parser of a group, or of the root for an empty name. */
  private JCommander parser(String group) {
    return group.isEmpty() ? root : root.getCommands().get(group);
  }

  JCommander root() {
    return root;
  }

  RootOptions rootOptions() {
    return rootOptions;
  }

  /** Returns the options of the group that was parsed, if one was. */
  Optional<GroupOptions> parsedGroup() {
    return Optional.ofNullable(root.getParsedCommand())
        .flatMap(name -> Optional.ofNullable(groups.get(name)));
  }

  /** Returns the parser of the command that was parsed, which may be a group or the root. */
  JCommander parsed() {
    JCommander parser = root;
    while (parser.getParsedCommand() != null) {
      parser = parser.getCommands().get(parser.getParsedCommand());
    }
    return parser;
  }

  /** Returns the command that was parsed, if it is not just a group. */
  Optional<Command> parsedCommand() {
    Object options = parsed().getObjects().get(0);
    return options instanceof Command command ? Optional.of(command) : Optional.empty();
  }

  /** Returns all commands by the words that call them. */
  ImmutableMap<String, JCommander> commands() {
    ImmutableMap.Builder<String, JCommander> commands = ImmutableMap.builder();
    for (Map.Entry<String, JCommander> entry : root.getCommands().entrySet()) {
      if (groups.containsKey(entry.getKey())) {
        entry
            .getValue()
            .getCommands()
            .forEach((name, parser) -> commands.put(entry.getKey() + " " + name, parser));
      } else {
        commands.put(entry.getKey(), entry.getValue());
      }
    }
    return commands.buildOrThrow();
  }

  /** Returns the names of the groups. */
  ImmutableList<String> groupNames() {
    return groups.keySet().asList();
  }

  /** The options before any command. */
  static final class RootOptions {
    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Show this help")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Show the version")
    private boolean version;

    boolean help() {
      return help;
    }

    boolean version() {
      return version;
    }
  }

  /** The options between a group and its command. */
  @Parameters
  static final class GroupOptions {
    private final String description;

    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Show this help")
    private boolean help;

    GroupOptions(String description) {
      this.description = description;
    }

    String description() {
      return description;
    }

    boolean help() {
      return help;
    }
  }
}
