package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.testing.PlatformOperation;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Control traffic, processor time and heap of one daemon in fleets of growing size, in six zones
 * with 60 replicas, and the time until a change is in force everywhere.
 */
final class DaemonSlope {

  private static final Duration SETTLING = Duration.ofSeconds(20);
  private static final Duration MEASURED = Duration.ofSeconds(30);
  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final int CUSTOMERS = 10;
  private static final int REPLICAS = 60;

  private DaemonSlope() {}

  static void print(PrintStream out, List<Integer> sizes) {
    out.println("Daemons: cost of control for each daemon, six zones, 60 replicas");
    out.printf(
        "%8s %14s %12s %12s %12s %14s %16s %12s%n",
        "daemons",
        "messages/s",
        "most mess./s",
        "bytes/s",
        "core %",
        "heap KiB",
        "platform reads/s",
        "in force s");
    for (int size : sizes) {
      measure(out, size);
    }
  }

  private static void measure(PrintStream out, int daemons) {
    long heapBefore = Cost.usedBytes();
    ControlFleet fleet = new ControlFleet(daemons, FleetConfiguration.of(REPLICAS, CUSTOMERS));
    fleet.time().advance(SETTLING);
    fleet.probes().forEach(CountingProbes::reset);
    long fromNanos = fleet.time().nanoTime();
    long processorBefore = Cost.processorNanos();
    fleet.time().advance(MEASURED);
    long processor = Cost.processorNanos() - processorBefore;
    double seconds = MEASURED.toSeconds();
    double reads =
        fleet.platform().log().countSince(fromNanos, request -> !request.operation().isWrite())
            / seconds;
    long heap = Cost.usedBytes() - heapBefore;
    ImmutableList<CountingProbes> counts = ImmutableList.copyOf(fleet.probes());
    double messages = counts.stream().mapToLong(CountingProbes::messages).sum() / seconds / daemons;
    double most = counts.stream().mapToLong(CountingProbes::messages).max().orElse(0) / seconds;
    double bytes = counts.stream().mapToLong(CountingProbes::bytes).sum() / seconds / daemons;
    double core = 100.0 * processor / MEASURED.toNanos() / daemons;
    out.printf(
        "%8d %14.2f %12.2f %12.0f %12.3f %14d %16.1f %12.2f%n",
        daemons,
        messages,
        most,
        bytes,
        core,
        heap / 1024 / daemons,
        reads,
        timeInForce(fleet, daemons));
    long watches =
        fleet.platform().log().count(request -> request.operation() == PlatformOperation.WATCH);
    out.printf("%8s watches since the start: %d%n", "", watches);
  }

  private static double timeInForce(ControlFleet fleet, int daemons) {
    long from = fleet.time().nanoTime();
    long generation = fleet.accept(FleetConfiguration.of(REPLICAS, CUSTOMERS + 1));
    while (fleet.inForce(generation) < daemons
        && fleet.time().nanoTime() - from < LIMIT.toNanos()) {
      fleet.time().advance(STEP);
    }
    double nanos = fleet.time().nanoTime() - from;
    return nanos / TimeUnit.SECONDS.toNanos(1);
  }
}
