package dev.apricotmill.cli.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.cli.CommandLineHarness;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.OperatorAnswer;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DrainCommandTest {
  private static final String DAEMON = "127.0.0.1:9001";

  @TempDir private Path directory;
  private CommandLineHarness harness;

  @BeforeEach
  void acceptDrain() {
    harness = new CommandLineHarness(directory);
    harness.daemons().answer("POST " + DAEMON + "/drain", DaemonAnswers.status("draining", 1, 3));
  }

  @Test
  void aDrainIsFollowedUntilTheLastRequestHasEnded() {
    answerStatus(DaemonAnswers.status("draining", 1, 3));
    answerStatus(DaemonAnswers.status("draining", 1, 1));
    answerStatus(DaemonAnswers.status("drained", 1, 0));

    CommandLineHarness.Run run = harness.run("drain", DAEMON);

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).contains("drained after 2 s");
    assertThat(run.err()).contains("3 requests in flight after 0 s");
  }

  @Test
  void aDaemonThatEndsWithRequestsInFlightIsNotCalledDrained() {
    answerStatus(DaemonAnswers.status("draining", 1, 3));
    answerStatus(new OperatorAnswer.Unreachable());

    CommandLineHarness.Run run = harness.run("drain", DAEMON);

    assertThat(run.exitCode()).isEqualTo(ExitCode.UNDETERMINED);
    assertThat(run.out()).contains("3 requests were in flight when last seen");
  }

  @Test
  void aLostAnswerToTheOrderIsFollowedUpByTheStatus() {
    harness = new CommandLineHarness(directory);
    harness.daemons().answer("POST " + DAEMON + "/drain", new OperatorAnswer.NoAnswer());
    answerStatus(DaemonAnswers.status("drained", 1, 0));

    assertThat(harness.run("drain", DAEMON).exitCode()).isEqualTo(ExitCode.OK);
  }

  @Test
  void aLongDrainGoesOnWhenTheCommandEnds() {
    answerStatus(DaemonAnswers.status("draining", 1, 3));

    CommandLineHarness.Run run = harness.run("drain", DAEMON, "--wait-seconds", "12");

    assertThat(run.exitCode()).isEqualTo(ExitCode.UNDETERMINED);
    assertThat(run.out()).contains("the drain goes on");
    assertThat(run.err().lines().count()).isEqualTo(3);
  }

  @Test
  void anUnreachableDaemonIsTold() {
    CommandLineHarness.Run run = harness.run("drain", "127.0.0.1:9002");

    assertThat(run.exitCode()).isEqualTo(ExitCode.UNAVAILABLE);
  }

  private void answerStatus(OperatorAnswer answer) {
    harness.daemons().answer("GET " + DAEMON + "/status", answer);
  }
}
