package dev.apricotmill.daemon.process;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a process that lives on after one of its threads has ended by an error. */
@Timeout(60)
final class EssentialThreadsTest {

  @Test
  void anUncaughtErrorOfAThreadEndsTheProcessWithALineAndItsOwnExitCode() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx32m",
                "-cp",
                System.getProperty("java.class.path"),
                FailingProgram.class.getName())
            .redirectErrorStream(true)
            .start();
    try {
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(process.waitFor(50, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isEqualTo(EssentialThreads.EXIT_THREAD_ENDED);
      assertThat(output).contains("thread dispatch ended by java.lang.StackOverflowError");
    } finally {
      process.destroyForcibly();
    }
  }

  /** A program whose main thread would live on. */
  static final class FailingProgram {

    private FailingProgram() {}

    public static void main(String[] arguments) throws InterruptedException {
      EssentialThreads.endProcessOnUncaughtErrors();
      Thread thread =
          new Thread(
              () -> {
                throw new StackOverflowError();
              },
              "dispatch");
      thread.start();
      Thread.currentThread().join();
    }
  }
}
