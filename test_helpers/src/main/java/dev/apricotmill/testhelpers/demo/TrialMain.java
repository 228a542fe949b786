package dev.apricotmill.testhelpers.demo;

import com.beust.jcommander.JCommander;
import java.time.Duration;

/**
 * Sends load to a running deployment while its daemons are killed and frozen from outside, and then
 * compares both sides.
 */
public final class TrialMain {

  private static final int WRONG_EXIT_CODE = 1;
  private static final Duration START_PATIENCE = Duration.ofSeconds(60);
  private static final Duration QUIET_PATIENCE = Duration.ofSeconds(90);

  private TrialMain() {}

  /** Runs the trial; the exit code is 0 only if every promise held. */
  public static void main(String[] commandLine) {
    TrialArguments arguments = new TrialArguments();
    JCommander.newBuilder().addObject(arguments).build().parse(commandLine);
    System.exit(run(arguments) ? 0 : WRONG_EXIT_CODE);
  }

  private static boolean run(TrialArguments arguments) {
    StandInLogs logs = arguments.deployment().logs();
    Report report = new Report();
    boolean ready =
        Waiting.until(
            START_PATIENCE,
            () -> arguments.deployment().operatorsAddresses().stream().allMatch(logs::isReady));
    report.fact("every daemon is ready", ready);
    if (!ready) {
      return false;
    }
    System.out.println("load begins");
    TrialLoad load = new TrialLoad(arguments);
    var calls = load.run();
    report.fact(
        "no engine holds memory when quiet",
        Waiting.until(QUIET_PATIENCE, () -> logs.usedTokens() == 0));
    TrialVerdict verdict = new TrialVerdict(calls, logs);
    verdict.printCounts();
    verdict.judge(report);
    return report.allRight();
  }
}
