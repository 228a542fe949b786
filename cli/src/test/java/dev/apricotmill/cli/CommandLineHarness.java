package dev.apricotmill.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.cli.command.Awaiter;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.Connections;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.OperatorPort;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** Runs the command line on virtual time against a fake platform and fake daemons. */
public final class CommandLineHarness {
  /** The most virtual time that one call may take. */
  private static final Duration LONGEST_WAIT = Duration.ofMinutes(10);

  private static final Duration STEP = Duration.ofMillis(10);

  private final VirtualTime time = new VirtualTime();
  private final VirtualScheduler scheduler = time.newScheduler();
  private final FakePlatform platform = new FakePlatform(time);
  private final FakeOperatorPort daemons = new FakeOperatorPort();
  private final Path directory;

  /** Makes a harness whose files are in {@code directory}. */
  public CommandLineHarness(Path directory) {
    this.directory = directory;
  }

  /** What one run gave. */
  public record Run(ExitCode exitCode, String out, String err) {}

  /** Returns the platform that commands call. */
  public FakePlatform platform() {
    return platform;
  }

  /** Returns the daemons that commands call. */
  public FakeOperatorPort daemons() {
    return daemons;
  }

  /** Returns the virtual time. */
  public VirtualTime time() {
    return time;
  }

  /** Writes a file and returns its name. */
  public String file(String name, String text) {
    return file(name, text.getBytes(UTF_8));
  }

  /** Writes a file and returns its name. */
  public String file(String name, byte[] content) {
    try {
      return Files.write(directory.resolve(name), content).toString();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Runs one command with the platform's address in the environment. */
  public Run run(String... arguments) {
    return runIn(
        ImmutableMap.of("APRICOTMILL_PLATFORM", "127.0.0.1:7000", "USER", "ana"), arguments);
  }

  /** Runs one command in an environment. */
  public Run runIn(ImmutableMap<String, String> environment, String... arguments) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    ApricotmillCommand program =
        new ApricotmillCommand(
            progress -> context(environment, progress), new PrintWriter(out), new PrintWriter(err));
    ExitCode exitCode = program.run(arguments);
    return new Run(exitCode, out.toString(), err.toString());
  }

  private CommandContext context(ImmutableMap<String, String> environment, PrintWriter progress) {
    Connections connections =
        new Connections() {
          @Override
          public Platform platform(PeerAddress address) {
            return platform.clientFor("operator", new Zone("desk"), scheduler);
          }

          @Override
          public OperatorPort operatorPort() {
            return daemons;
          }
        };
    return new CommandContext(
        environment, connections, time.timingOf(scheduler), new AdvancingAwaiter(), progress);
  }

  /** Lets virtual time pass until the call is answered. */
  private final class AdvancingAwaiter implements Awaiter {
    @Override
    public <T> T await(CompletionStage<T> stage) {
      long limit = time.nanoTime() + LONGEST_WAIT.toNanos();
      while (!stage.toCompletableFuture().isDone() && time.nanoTime() < limit) {
        time.advance(STEP);
      }
      return stage.toCompletableFuture().getNow(null);
    }
  }
}
