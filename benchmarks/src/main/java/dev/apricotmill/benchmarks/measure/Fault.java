package dev.apricotmill.benchmarks.measure;

import dev.apricotmill.benchmarks.fleet.EventLoop;
import dev.apricotmill.benchmarks.fleet.Replicas;
import dev.apricotmill.benchmarks.policy.ServingPolicy;

/** Faults that happen while a policy serves. */
public enum Fault {
  /** Nothing fails. */
  NONE {
    @Override
    void schedule(EventLoop loop, Replicas replicas, ServingPolicy policy, long durationNanos) {}
  },
  /** An engine dies and comes back empty. */
  ENGINE_DEATH {
    @Override
    void schedule(EventLoop loop, Replicas replicas, ServingPolicy policy, long durationNanos) {
      loop.at(
          durationNanos / 3,
          () -> {
            replicas.engine(FAILED_REPLICA).kill();
            policy.onEngineLost(FAILED_REPLICA);
          });
      loop.at(
          durationNanos * 2 / 3,
          () -> {
            replicas.engine(FAILED_REPLICA).revive();
            policy.onEngineBack(FAILED_REPLICA);
          });
    }
  },
  /** An engine becomes four times as slow. */
  SLOW_ENGINE {
    @Override
    void schedule(EventLoop loop, Replicas replicas, ServingPolicy policy, long durationNanos) {
      loop.at(durationNanos / 3, () -> replicas.engine(FAILED_REPLICA).slowDown(SLOWNESS));
      loop.at(durationNanos * 2 / 3, () -> replicas.engine(FAILED_REPLICA).slowDown(1));
    }
  },
  /** One zone is cut off from the others. */
  ZONE_CUT {
    @Override
    void schedule(EventLoop loop, Replicas replicas, ServingPolicy policy, long durationNanos) {
      loop.at(durationNanos / 3, () -> policy.onZoneCut(0, true));
      loop.at(durationNanos * 2 / 3, () -> policy.onZoneCut(0, false));
    }
  },
  /** An entry daemon dies. */
  DAEMON_LOSS {
    @Override
    void schedule(EventLoop loop, Replicas replicas, ServingPolicy policy, long durationNanos) {
      loop.at(durationNanos / 3, () -> policy.onDaemonLost(1));
    }
  };

  private static final int FAILED_REPLICA = 3;
  private static final double SLOWNESS = 4;

  /** Schedules the fault's events. */
  abstract void schedule(
      EventLoop loop, Replicas replicas, ServingPolicy policy, long durationNanos);
}
