package dev.apricotmill.cli;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.cli.command.ExitCode;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CompletionCommandTest {
  @TempDir private Path directory;

  @Test
  void everyCommandIsCompletedWithItsOptions() {
    CommandLineHarness.Run run = new CommandLineHarness(directory).run("completion");

    assertThat(run.exitCode()).isEqualTo(ExitCode.OK);
    assertThat(run.out()).containsMatch("\"config apply\"\\) words=\".*--expect.*--platform");
    assertThat(run.out()).contains("\"sheet \"*) words=\"check apply show --help\"");
    assertThat(run.out()).containsMatch("\"drain \"\\*\\) words=\".*--wait-seconds");
  }
}
