package dev.apricotmill.cli.configuration;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.cli.CommandLineHarness;
import dev.apricotmill.cli.ExampleFiles;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.PlatformRequest;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigApplyCommandTest {
  @TempDir private Path directory;
  private CommandLineHarness harness;
  private String file;

  @BeforeEach
  void writeFile() {
    harness = new CommandLineHarness(directory);
    file = harness.file("deployment.json", ExampleFiles.CONFIGURATION);
  }

  @Test
  void aFirstConfigurationBecomesGenerationOne() {
    CommandLineHarness.Run run = harness.run("config", "apply", file, "--author", "ana");

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("accepted as generation 1 by ana");
  }

  @Test
  void whatWasAppliedIsShownAndCanBeAppliedAgain() {
    harness.run("config", "apply", file);

    String shown = harness.run("config", "show").out();
    CommandLineHarness.Run again =
        harness.run("config", "apply", harness.file("shown.json", shown));

    assertThat(again.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(again.out()).contains("generation 1 says the same already");
  }

  @Test
  void aFaultyFileChangesNothing() {
    String faulty =
        harness.file("faulty.json", ExampleFiles.CONFIGURATION.replace("\"HIGH\"", "\"QUICK\""));

    CommandLineHarness.Run run = harness.run("config", "apply", faulty);

    assertThat(run.exitCode()).isEqualTo(ExitCode.DATA);
    assertThat(run.out()).contains("/customers/0/priority");
    assertThat(harness.run("config", "show").exitCode()).isEqualTo(ExitCode.NO_INPUT);
  }

  @Test
  void anotherGenerationThanExpectedIsAConflictThatShowsTheOtherChange() {
    harness.run("config", "apply", file, "--author", "ana");

    CommandLineHarness.Run run =
        harness.run("config", "apply", changedFile(), "--expect", "0", "--author", "bor");

    assertThat(run.exitCode()).isEqualTo(ExitCode.CONFLICT);
    assertThat(run.out()).contains("the other change: generation 1 by ana");
  }

  @Test
  void aLostAnswerToAnAcceptedChangeIsFollowedUp() {
    harness.run("config", "apply", file);
    harness.platform().failNext(1, PlatformFault.ANSWER_LOST, ConfigApplyCommandTest::writesHead);

    CommandLineHarness.Run run = harness.run("config", "apply", changedFile());

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("accepted as generation 2");
  }

  @Test
  void anUndeterminedChangeIsResolvedByTheCommandThatTheMessageNames() {
    harness.run("config", "apply", file);
    AtomicBoolean written = new AtomicBoolean();
    harness
        .platform()
        .fail(
            PlatformFault.ANSWER_LOST,
            request -> writesHead(request) && written.compareAndSet(false, true));
    harness.platform().fail(PlatformFault.REQUEST_LOST, request -> written.get());

    CommandLineHarness.Run lost = harness.run("config", "apply", changedFile());
    harness.platform().heal();

    assertThat(lost.exitCode()).isEqualTo(ExitCode.UNDETERMINED);
    CommandLineHarness.Run repeated = harness.run(commandNamedIn(lost.out()));
    assertThat(repeated.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(repeated.out()).contains("accepted as generation 2");
  }

  @Test
  void anUnreachablePlatformChangesNothing() {
    harness.platform().fail(PlatformFault.UNREACHABLE);

    CommandLineHarness.Run run = harness.run("config", "apply", file);

    assertThat(run.exitCode()).isEqualTo(ExitCode.UNAVAILABLE);
    assertThat(run.out()).contains("nothing was changed");
  }

  private static boolean writesHead(PlatformRequest request) {
    return request.operation() == PlatformOperation.PUT && request.path().equals("config/head");
  }

  private static String[] commandNamedIn(String message) {
    String line =
        message.lines().filter(each -> each.startsWith("Next: ")).findFirst().orElseThrow();
    return line.substring("Next: apricotmill ".length()).split(" ");
  }

  private String changedFile() {
    return harness.file(
        "changed.json", ExampleFiles.CONFIGURATION.replace("\"weight\": 100", "\"weight\": 11"));
  }
}
