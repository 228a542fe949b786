package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.node.testing.RecordedGeneration;
import dev.apricotmill.node.testing.SampleConfiguration;
import dev.apricotmill.node.testing.SimulatedDaemon;
import java.time.Duration;
import java.time.Instant;

/** The steps at which faults are injected; each runs a scenario up to the injection. */
enum Step {
  ACCEPT(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.sendTrackedOrder(scenario.entryDaemon());
    }
  },
  ADMIT(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.deployment().time().runDue();
    }
  },
  FORWARD(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.deployment().advance(Duration.ofNanos(500_000));
    }
  },
  RESERVE(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.deployment().advance(Duration.ofNanos(1_200_000));
    }
  },
  DISPATCH(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.advanceUntil(scenario::trackedGenerationStarted);
    }
  },
  FIRST_TOKEN(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      RecordedGeneration generation = scenario.sendTrackedGeneration();
      scenario.advanceUntil(() -> generation.tokens() > 0);
    }
  },
  MID_STREAM(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      RecordedGeneration generation = scenario.sendTrackedGeneration();
      scenario.advanceUntil(
          () -> generation.tokens() >= generation.submission().maximumOutputTokens() / 2);
    }
  },
  END(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      RecordedGeneration generation = scenario.sendTrackedGeneration();
      scenario.advanceUntil(
          () -> generation.tokens() >= generation.submission().maximumOutputTokens() - 1);
    }
  },
  RELEASE(Kind.GENERATION) {
    @Override
    void reach(Scenario scenario) {
      RecordedGeneration generation = scenario.sendTrackedGeneration();
      scenario.advanceUntil(() -> generation.outcome().isPresent());
    }
  },
  CLAIM(Kind.ORDER) {
    @Override
    void reach(Scenario scenario) {
      long from = scenario.deployment().time().nanoTime();
      scenario.sendTrackedOrder(scenario.entryDaemon());
      scenario.advanceUntil(() -> writesSince(scenario, from, "ledger/") > 0);
    }
  },
  ORDER_DISPATCH(Kind.ORDER) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedOrder(scenario.entryDaemon());
      scenario.advanceUntil(scenario::trackedOrderExecuted);
    }
  },
  ORDER_RECORD(Kind.ORDER) {
    @Override
    void reach(Scenario scenario) {
      var trackedOrder = scenario.sendTrackedOrder(scenario.entryDaemon());
      scenario.advanceUntil(() -> trackedOrder.outcome().isPresent());
    }
  },
  PROBE(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.deployment().advance(Duration.ofMillis(501));
    }
  },
  TAKEOVER(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.advanceUntil(scenario::trackedGenerationStarted);
      scenario.kill(scenario.stewardDaemon());
      scenario.deployment().advance(Duration.ofSeconds(1));
    }
  },
  CLEAN_UP(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      SimulatedDaemon steward = scenario.stewardDaemon();
      for (int index = 0; index < ORPHAN_COUNT; index++) {
        scenario
            .client()
            .generate(steward, "orphan " + index, ORPHAN_OUTPUT_TOKENS, ORPHAN_TIME_LIMIT);
      }
      scenario.deployment().advance(Duration.ofMillis(500));
      scenario.kill(steward);
      scenario.deployment().advance(Duration.ofSeconds(3));
    }
  },
  CONFIGURATION_ACCEPT(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      long from = scenario.deployment().time().nanoTime();
      scenario.deployment().propose(changedConfiguration(), "operator");
      scenario.advanceUntil(() -> writesSince(scenario, from, "config/head") > 0);
    }
  },
  CONFIGURATION_RELAY(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      long previousGeneration = scenario.deployment().acceptedGeneration();
      scenario.deployment().propose(changedConfiguration(), "operator");
      scenario.advanceUntil(() -> scenario.deployment().acceptedGeneration() > previousGeneration);
    }
  },
  CONFIGURATION_APPLY(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      long previousGeneration = scenario.deployment().acceptedGeneration();
      scenario.deployment().propose(changedConfiguration(), "operator");
      scenario.advanceUntil(
          () ->
              scenario.deployment().daemons().stream()
                  .anyMatch(
                      daemon ->
                          daemon.node().status().configurationGeneration() > previousGeneration));
    }
  },
  PLANNED_STOP(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      RecordedGeneration generation = scenario.sendTrackedGeneration();
      scenario.advanceUntil(() -> generation.tokens() > 0);
      String replica = scenario.replicaOf(scenario.trackedEngine()).value();
      Instant now = scenario.deployment().time().clock().instant();
      PlannedStop stop = new PlannedStop("vm-" + replica, now, now.plus(Duration.ofHours(1)));
      scenario.deployment().propose(SampleConfiguration.create(ImmutableList.of(stop)), "planner");
      scenario.deployment().advance(Duration.ofMillis(50));
    }
  },
  SERVER_LEAVES(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      RecordedGeneration generation = scenario.sendTrackedGeneration();
      scenario.advanceUntil(() -> generation.tokens() > 0);
      var replica = scenario.replicaOf(scenario.trackedEngine());
      scenario.deployment().setListedState("vm-" + replica.value(), Machine.State.LEAVING);
      scenario.markLeaving(replica);
    }
  },
  DRAIN(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      scenario.sendTrackedGeneration();
      scenario.advanceUntil(scenario::trackedGenerationStarted);
      SimulatedDaemon steward = scenario.stewardDaemon();
      steward.run(() -> steward.node().drain());
      scenario.deployment().advance(Duration.ofMillis(50));
    }
  },
  FRESH_START(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      SimulatedDaemon lastDaemon = scenario.deployment().daemon(5);
      scenario.kill(lastDaemon);
      scenario.deployment().propose(changedConfiguration(), "operator");
      scenario.deployment().advance(Duration.ofSeconds(1));
      scenario.restart(lastDaemon);
      scenario.deployment().advance(Duration.ofMillis(2));
    }
  };

  /** Enough requests that the killed daemon is the steward of some, on engines of its zone. */
  private static final int ORPHAN_COUNT = 4;

  /** More tokens than an engine can generate before the checker looks for memory still in use. */
  private static final int ORPHAN_OUTPUT_TOKENS = 10_000;

  private static final Duration ORPHAN_TIME_LIMIT = Duration.ofMinutes(9);

  private final Kind kind;

  Step(Kind kind) {
    this.kind = kind;
  }

  /** The kind of work that a step belongs to. */
  enum Kind {
    GENERATION,
    ORDER,
    CONTROL
  }

  Kind kind() {
    return kind;
  }

  /** Returns whether the step is a planned stop while the tracked generation is running. */
  boolean isPlannedStop() {
    return this == PLANNED_STOP || this == SERVER_LEAVES || this == DRAIN;
  }

  /** Runs the scenario until the step is about to happen. */
  abstract void reach(Scenario scenario);

  private static dev.apricotmill.core.configuration.Configuration changedConfiguration() {
    Instant past = Instant.EPOCH;
    return SampleConfiguration.create(
        ImmutableList.of(new PlannedStop("vm-none", past, past.plusSeconds(1))));
  }

  private static long writesSince(Scenario scenario, long fromNanos, String prefix) {
    return scenario
        .deployment()
        .platform()
        .log()
        .countSince(
            fromNanos,
            request ->
                request.operation() == PlatformOperation.PUT && request.path().startsWith(prefix));
  }
}
