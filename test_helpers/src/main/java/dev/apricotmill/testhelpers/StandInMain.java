package dev.apricotmill.testhelpers;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import java.io.IOException;
import java.time.InstantSource;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** Runs one stand-in as a process: {@code platform}, {@code engine} or {@code service}. */
public final class StandInMain {

  private static final int USAGE_EXIT_CODE = 2;
  private static final int SCHEDULER_THREADS = 2;
  private static final int START_EXIT_CODE = 1;

  private StandInMain() {}

  /** Starts the stand-in that the first argument names and prints {@code ready PORT}. */
  public static void main(String[] arguments) {
    ImmutableMap<String, StandInCommand> commands =
        ImmutableMap.of(
            "platform", new PlatformCommand(),
            "engine", new EngineCommand(),
            "service", new ServiceCommand());
    JCommander.Builder builder = JCommander.newBuilder().programName("apricotmill-stand-ins");
    commands.forEach(builder::addCommand);
    JCommander parser = builder.build();
    try {
      parser.parse(arguments);
    } catch (ParameterException fault) {
      System.err.println(fault.getMessage());
      System.exit(USAGE_EXIT_CODE);
    }
    StandInCommand command = commands.get(String.valueOf(parser.getParsedCommand()));
    if (command == null) {
      parser.usage();
      System.exit(USAGE_EXIT_CODE);
      return;
    }
    start(command);
  }

  private static void start(StandInCommand command) {
    try {
      PeerAddress address = command.start(systemTiming());
      System.out.println("ready " + address.port());
    } catch (IOException fault) {
      System.err.println("stand-in: cannot start: " + fault.getMessage());
      System.exit(START_EXIT_CODE);
    }
  }

  private static Timing systemTiming() {
    ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(SCHEDULER_THREADS);
    // The I/O threads are daemon threads; these keep the process alive.
    scheduler.prestartAllCoreThreads();
    return new Timing(InstantSource.system(), Ticker.systemTicker(), scheduler);
  }
}
