package dev.apricotmill.cli.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.cli.CommandLineHarness;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StatusCommandTest {
  @TempDir private Path directory;
  private CommandLineHarness harness;

  @BeforeEach
  void listMachines() {
    harness = new CommandLineHarness(directory);
    harness.platform().setMachines(ImmutableList.of(entry("vm-1", 1), entry("vm-2", 2)));
    harness.time().advance(Duration.ofSeconds(1));
  }

  @Test
  void daemonsAreFoundThroughThePlatform() {
    answer("127.0.0.1", DaemonAnswers.status("vm-1", "ready", 4, 7));
    answer("127.0.0.2", DaemonAnswers.status("vm-2", "ready", 4, 5));

    CommandLineHarness.Run run = harness.run("status");

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("2 of 2 daemons answered, newest generation in force 4");
    assertThat(run.out()).containsMatch("lisbon-1 +2/2 +12 +1/1 +2 +25%");
    assertThat(run.out()).contains("all daemons are ready");
  }

  @Test
  void daemonsThatNeedALookAreListed() {
    answer("127.0.0.1", DaemonAnswers.status("vm-1", "ready", 4, 7));
    answer("127.0.0.2", DaemonAnswers.status("vm-2", "ready", 3, 5));

    assertThat(harness.run("status").out()).containsMatch("vm-2 .* 3 +5 +behind");
  }

  @Test
  void aSilentDaemonIsListedWithTheReason() {
    answer("127.0.0.1", DaemonAnswers.status("vm-1", "ready", 4, 7));
    answer("127.0.0.2", new OperatorAnswer.Answered(200, "<html>"));

    assertThat(harness.run("status").out()).containsMatch("vm-2 .*not a status");
  }

  @Test
  void jsonHasEveryDaemon() {
    answer("127.0.0.1", DaemonAnswers.status("vm-1", "ready", 4, 7));

    String out = harness.run("status", "--output", "json").out();

    assertThat(out).contains("\"newestGeneration\" : 4");
    assertThat(out).contains("\"silence\" : \"UNREACHABLE\"");
  }

  @Test
  void aGenerationIsAwaitedAtEveryDaemon() {
    answer("127.0.0.1", DaemonAnswers.status("vm-1", "ready", 4, 0));
    answer("127.0.0.2", DaemonAnswers.status("vm-2", "ready", 3, 0));
    answer("127.0.0.2", DaemonAnswers.status("vm-2", "ready", 4, 0));

    CommandLineHarness.Run run = harness.run("status", "--await-generation", "4");

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("newest generation in force 4");
  }

  @Test
  void aGenerationThatDoesNotComeInTimeIsTold() {
    answer("127.0.0.1", DaemonAnswers.status("vm-1", "ready", 4, 0));

    CommandLineHarness.Run run =
        harness.run("status", "--await-generation", "4", "--wait-seconds", "5");

    assertThat(run.exitCode()).isEqualTo(ExitCode.UNDETERMINED);
    assertThat(run.out()).contains("1 of 2 daemons have generation 4 after 5 s");
  }

  @Test
  void noAnswerAtAllIsAFailure() {
    assertThat(harness.run("status").exitCode()).isEqualTo(ExitCode.UNAVAILABLE);
  }

  @Test
  void withoutPlatformOrDaemonsTheUsageIsWrong() {
    CommandLineHarness.Run run = harness.runIn(ImmutableMap.of(), "status");

    assertThat(run.exitCode()).isEqualTo(ExitCode.USAGE);
    assertThat(run.out()).contains("--daemon IP:PORT");
  }

  private void answer(String host, OperatorAnswer answer) {
    harness.daemons().answer("GET " + host + ":9090/status", answer);
  }

  private static Machine entry(String name, int number) {
    return new Machine(
        name,
        Machine.Role.ENTRY,
        new Zone("lisbon-1"),
        "127.0.0." + number + ":7070",
        Machine.State.LIVE);
  }
}
