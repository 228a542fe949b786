package dev.apricotmill.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.cli.command.ExitCode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ApricotmillCommandTest {
  @TempDir private Path directory;
  private CommandLineHarness harness;

  @BeforeEach
  void makeHarness() {
    harness = new CommandLineHarness(directory);
  }

  static Stream<String> commands() {
    return new CommandTree().commands().keySet().stream();
  }

  @ParameterizedTest
  @MethodSource("commands")
  void everyCommandHasHelpWithAnExample(String words) {
    CommandLineHarness.Run run = harness.run(withOption(words, "--help"));

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).startsWith("Usage: apricotmill " + words);
    assertThat(run.out()).contains("Example: apricotmill " + words);
  }

  @ParameterizedTest
  @MethodSource("commands")
  void everyCommandRefusesAnUnknownOption(String words) {
    CommandLineHarness.Run run = harness.run(withOption(words, "--no-such-option"));

    assertThat(run.exitCode()).isEqualTo(ExitCode.USAGE);
    assertThat(run.err()).contains("Next: apricotmill " + words + " --help");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "config",
        "nonsense",
        "config nonsense",
        "config check",
        "config check a b",
        "config show --generation seven",
        "config show --output xml",
        "config show --platform localhost:1",
        "config show --platform 127.0.0.1:0",
        "config show --timeout-seconds 0",
        "config history --limit 0",
        "config apply a.json --change-id x",
        "config apply a.json --expect -1",
        "config diff a.json --to 3",
        "sheet check a.csv --time-zone Nowhere/City",
        "drain 127.0.0.1:9 --wait-seconds -1",
        "status --operators-port 70000"
      })
  void aWrongCommandLineIsRefusedWithTheNextStep(String line) {
    CommandLineHarness.Run run =
        harness.run(
            Stream.of(line.split(" ")).filter(each -> !each.isEmpty()).toArray(String[]::new));

    assertThat(run.exitCode()).isEqualTo(ExitCode.USAGE);
    assertThat(run.out()).isEmpty();
    assertThat(run.err()).contains("Next: apricotmill");
  }

  @Test
  void theVersionIsShown() {
    CommandLineHarness.Run run = harness.run("--version");

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).startsWith("apricotmill ");
  }

  @Test
  void theHelpNamesEveryCommandAndExitCode() {
    String out = harness.run("--help").out();

    commands().forEach(words -> assertThat(out).contains(words));
    for (ExitCode code : ExitCode.values()) {
      assertThat(out).contains(code.meaning());
    }
  }

  @Test
  void thePageOnTheCommandLineAgreesWithTheCommands() {
    assertWithMessage("docs/CLI.md must contain the reference below")
        .that(ExampleFiles.read("CLI.md"))
        .contains(CommandReference.render());
  }

  private static String[] withOption(String words, String option) {
    List<String> arguments = new ArrayList<>(List.of(words.split(" ")));
    arguments.add(option);
    return arguments.toArray(new String[0]);
  }
}
