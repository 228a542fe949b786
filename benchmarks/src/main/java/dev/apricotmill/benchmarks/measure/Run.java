package dev.apricotmill.benchmarks.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.benchmarks.fleet.EngineModel;
import dev.apricotmill.benchmarks.fleet.EventLoop;
import dev.apricotmill.benchmarks.fleet.FakeEngine;
import dev.apricotmill.benchmarks.fleet.Replicas;
import dev.apricotmill.benchmarks.policy.Baseline;
import dev.apricotmill.benchmarks.policy.BaselinePolicy;
import dev.apricotmill.benchmarks.policy.FleetPolicy;
import dev.apricotmill.benchmarks.policy.Mechanism;
import dev.apricotmill.benchmarks.policy.ServingPolicy;
import dev.apricotmill.benchmarks.workload.Arrival;
import dev.apricotmill.benchmarks.workload.Workload;
import dev.apricotmill.core.configuration.Objective;
import java.util.concurrent.TimeUnit;

/** One policy on one workload with one fault. */
public record Run(Subject subject, Workload workload, Fault fault, Mix mix) {

  private static final long DRAIN_NANOS = TimeUnit.MINUTES.toNanos(10);
  private static final long SHORT_TOKENS = 4_000;

  /** Runs it from beginning to end in virtual time. */
  public Result execute() {
    EngineModel model = EngineModel.STANDARD;
    EventLoop loop = new EventLoop();
    Replicas replicas = new Replicas(loop, model, workload.replicas());
    ImmutableList<Arrival> arrivals = workload.arrivals(model);
    Recorder recorder = new Recorder(arrivals);
    ServingPolicy policy = subject.create(loop, model, replicas, recorder, workload.seed());
    fault.schedule(loop, replicas, policy, workload.durationNanos());
    for (Arrival arrival : arrivals) {
      if (mix == Mix.ALL || arrival.promptTokens() <= SHORT_TOKENS) {
        loop.at(arrival.atNanos(), () -> policy.submit(arrival));
      }
    }
    loop.runUntil(workload.durationNanos() + DRAIN_NANOS);
    long engineMemory = replicas.engines().stream().mapToLong(FakeEngine::usedTokens).sum();
    return new Result(this, recorder, policy.reservedTokens(), engineMemory);
  }

  /** Which requests of the workload are sent. */
  public enum Mix {
    /** All of them. */
    ALL,
    /** The short ones alone. */
    SHORT_ALONE
  }

  /** What serves the workload. */
  public sealed interface Subject {

    /** Returns the name in the tables. */
    String name();

    /** Creates the policy. */
    ServingPolicy create(
        EventLoop loop, EngineModel model, Replicas replicas, Recorder recorder, long seed);
  }

  /** The product, with some mechanisms switched off. */
  public record Product(Objective objective, ImmutableSet<Mechanism> disabled) implements Subject {

    @Override
    public String name() {
      return disabled.isEmpty() ? "apricotmill " + objective : "without " + disabled;
    }

    @Override
    public ServingPolicy create(
        EventLoop loop, EngineModel model, Replicas replicas, Recorder recorder, long seed) {
      return new FleetPolicy(loop, model, replicas, recorder, objective, disabled, seed);
    }
  }

  /** A baseline. */
  public record Plain(Baseline baseline) implements Subject {

    @Override
    public String name() {
      return baseline.toString();
    }

    @Override
    public ServingPolicy create(
        EventLoop loop, EngineModel model, Replicas replicas, Recorder recorder, long seed) {
      return new BaselinePolicy(loop, model, replicas, recorder, baseline, seed);
    }
  }

  /**
   * What a run gave.
   *
   * @param run the run
   * @param recorder what became of each request
   * @param reservedTokens memory still reserved by stewards after the drain
   * @param engineTokens memory still used on engines after the drain
   */
  public record Result(Run run, Recorder recorder, long reservedTokens, long engineTokens) {}
}
