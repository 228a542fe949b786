package dev.apricotmill.testhelpers.demo;

import java.time.Duration;

/** Prints a line for each check and remembers whether all held. */
final class Report {

  private boolean right = true;

  /** Prints what became of a request and whether it was right. */
  synchronized void request(String name, CallResult result, boolean asExpected) {
    right &= asExpected;
    System.out.printf(
        "%-34s %-5s outcome=%-22s first token %8s  total %8s  hops=%s%n",
        name,
        asExpected ? "right" : "WRONG",
        result.isBroken() ? "(connection broke)" : result.outcome(),
        result.firstToken().map(Report::millis).orElse("-"),
        millis(result.total()),
        result.hops());
    if (!asExpected) {
      String text = result.text();
      System.out.printf("    status %d, text: %.300s%n", result.status(), text);
    }
  }

  /** Prints a fact and whether it was right. */
  synchronized void fact(String name, boolean asExpected) {
    right &= asExpected;
    System.out.printf("%-34s %s%n", name, asExpected ? "right" : "WRONG");
  }

  synchronized boolean allRight() {
    return right;
  }

  private static String millis(Duration duration) {
    return duration.toMillis() + "ms";
  }
}
