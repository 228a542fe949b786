package dev.apricotmill.benchmarks.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.benchmarks.policy.Baseline;
import dev.apricotmill.benchmarks.policy.Mechanism;
import dev.apricotmill.benchmarks.workload.Workload;
import dev.apricotmill.core.configuration.Objective;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** The whole measurement: loads, objectives, baselines, mechanisms, fairness and faults. */
public final class Measurement {

  /** Seeds of a whole measurement. */
  public static final int SEEDS = 3;

  private static final int REPLICAS = 20;
  private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(200);
  private static final double TARGET_LOAD = 0.8;
  private static final double OVERLOAD = 1.3;
  private static final ImmutableList<Double> LOADS =
      ImmutableList.of(0.5, TARGET_LOAD, 1.0, OVERLOAD);
  private static final double BUSY_FACTOR = 10;

  private final PrintStream out;
  private final Path plots;
  private final int seeds;

  /** Creates a measurement that prints to a stream and writes plots into a directory. */
  public Measurement(PrintStream out, Path plots, int seeds) {
    this.out = out;
    this.plots = plots;
    this.seeds = seeds;
  }

  /** Runs everything and prints it. */
  public void run() throws IOException {
    List<Row> byLoad = new ArrayList<>();
    for (Run.Subject subject : subjects()) {
      for (double load : LOADS) {
        byLoad.add(row(subject, load, 1, Fault.NONE));
      }
    }
    print("Objectives and baselines by load", byLoad);
    printTargets(byLoad);
    print("Each mechanism switched off alone, load 0.8", mechanisms(TARGET_LOAD));
    print("Each mechanism switched off alone, load 1.3", mechanisms(OVERLOAD));
    print("Faults, load 0.8", faults());
    printFairness();
    new Plots(plots).write(byLoad);
    out.println("plots: " + plots);
  }

  private static ImmutableList<Run.Subject> subjects() {
    ImmutableList.Builder<Run.Subject> subjects = ImmutableList.builder();
    for (Objective objective : Objective.values()) {
      subjects.add(new Run.Product(objective, ImmutableSet.of()));
    }
    for (Baseline baseline : Baseline.values()) {
      subjects.add(new Run.Plain(baseline));
    }
    return subjects.build();
  }

  private List<Row> mechanisms(double load) {
    List<Row> rows = new ArrayList<>();
    rows.add(row(product(ImmutableSet.of()), load, 1, Fault.NONE));
    for (Mechanism mechanism : Mechanism.values()) {
      rows.add(row(product(ImmutableSet.of(mechanism)), load, 1, Fault.NONE));
    }
    return rows;
  }

  private List<Row> faults() {
    List<Row> rows = new ArrayList<>();
    ImmutableList<Run.Subject> compared =
        ImmutableList.of(
            product(ImmutableSet.of()),
            product(ImmutableSet.of(Mechanism.RETRY)),
            product(ImmutableSet.of(Mechanism.EJECTION)),
            new Run.Plain(Baseline.LENGTH_BLIND_QUEUE));
    for (Fault fault : Fault.values()) {
      for (Run.Subject subject : compared) {
        rows.add(row(subject, TARGET_LOAD, 1, fault));
      }
    }
    return rows;
  }

  private static Run.Subject product(ImmutableSet<Mechanism> disabled) {
    return new Run.Product(Objective.SHORT_REQUEST_SLOWDOWN, disabled);
  }

  private Row row(Run.Subject subject, double load, double busyFactor, Fault fault) {
    List<Figures> figures =
        IntStream.rangeClosed(1, seeds)
            .parallel()
            .mapToObj(seed -> figures(subject, load, busyFactor, fault, seed))
            .toList();
    return new Row(subject.name(), load, fault, ImmutableList.copyOf(figures));
  }

  private static Figures figures(
      Run.Subject subject, double load, double busyFactor, Fault fault, int seed) {
    Workload workload = new Workload(seed, load, REPLICAS, DURATION_NANOS, busyFactor);
    Run.Result all = new Run(subject, workload, fault, Run.Mix.ALL).execute();
    Run.Result alone = new Run(subject, workload, Fault.NONE, Run.Mix.SHORT_ALONE).execute();
    return Figures.of(all, alone, Workload.BUSY_CUSTOMER);
  }

  private void print(String title, List<Row> rows) {
    out.println();
    out.println(title + " (mean of " + seeds + " seeds, ± half of their range)");
    StringBuilder header = new StringBuilder(Row.label("policy", "load", "fault"));
    for (Column column : Column.values()) {
      header.append(column.header());
    }
    out.println(header);
    rows.forEach(row -> out.println(row.line()));
  }

  private void printTargets(List<Row> rows) {
    out.println();
    out.println("Targets");
    new Targets(rows, TARGET_LOAD, OVERLOAD).lines().forEach(out::println);
  }

  private void printFairness() {
    out.println();
    out.println(
        "Fairness: p99 time to first token of the other customers' short prompts, load 0.8");
    for (Mechanism off : new Mechanism[] {null, Mechanism.FAIRNESS}) {
      ImmutableSet<Mechanism> disabled = off == null ? ImmutableSet.of() : ImmutableSet.of(off);
      Run.Subject subject = product(disabled);
      double calm = others(row(subject, TARGET_LOAD, 1, Fault.NONE));
      double busy = others(row(subject, TARGET_LOAD, BUSY_FACTOR, Fault.NONE));
      out.printf(
          Locale.ROOT,
          "%-40s alike %.3f s, one sends ten times its share %.3f s, change %+.0f%%%n",
          subject.name(),
          calm,
          busy,
          100 * (busy / calm - 1));
    }
  }

  private static double others(Row row) {
    return Figures.spread(row.figures(), Figures::othersSeconds).mean();
  }

  /** One policy at one load, with the figures of all seeds. */
  record Row(String subject, double load, Fault fault, ImmutableList<Figures> figures) {

    static String label(String subject, String load, String fault) {
      return String.format(Locale.ROOT, "%-36s%5s %-13s", subject, load, fault);
    }

    String line() {
      StringBuilder line = new StringBuilder(label(subject, Double.toString(load), fault.name()));
      for (Column column : Column.values()) {
        line.append(column.cell(figures));
      }
      return line.toString();
    }

    double mean(Column column) {
      return Figures.spread(figures, column::of).mean();
    }
  }
}
