package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.node.testing.Asked;
import dev.apricotmill.node.testing.SampleConfiguration;
import dev.apricotmill.node.testing.SimulatedDaemon;
import java.time.Duration;
import java.time.Instant;

/** The steps at which faults strike; each brings a scenario to the moment before the fault. */
enum Step {
  ACCEPT(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.orderMarked(scenario.entry());
    }
  },
  ADMIT(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.deployment().time().runDue();
    }
  },
  FORWARD(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.deployment().advance(Duration.ofNanos(500_000));
    }
  },
  RESERVE(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.deployment().advance(Duration.ofNanos(1_200_000));
    }
  },
  DISPATCH(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.advanceUntil(scenario::markedStarted);
    }
  },
  FIRST_TOKEN(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      Asked question = scenario.askMarked();
      scenario.advanceUntil(() -> question.tokens() > 0);
    }
  },
  MID_STREAM(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      Asked question = scenario.askMarked();
      scenario.advanceUntil(
          () -> question.tokens() >= question.submission().maximumOutputTokens() / 2);
    }
  },
  END(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      Asked question = scenario.askMarked();
      scenario.advanceUntil(
          () -> question.tokens() >= question.submission().maximumOutputTokens() - 1);
    }
  },
  RELEASE(Kind.QUESTION) {
    @Override
    void reach(Scenario scenario) {
      Asked question = scenario.askMarked();
      scenario.advanceUntil(() -> question.outcome().isPresent());
    }
  },
  CLAIM(Kind.ORDER) {
    @Override
    void reach(Scenario scenario) {
      long from = scenario.deployment().time().nanoTime();
      scenario.orderMarked(scenario.entry());
      scenario.advanceUntil(() -> writesSince(scenario, from, "ledger/") > 0);
    }
  },
  ORDER_DISPATCH(Kind.ORDER) {
    @Override
    void reach(Scenario scenario) {
      scenario.orderMarked(scenario.entry());
      scenario.advanceUntil(scenario::markedOrderExecuted);
    }
  },
  ORDER_RECORD(Kind.ORDER) {
    @Override
    void reach(Scenario scenario) {
      var order = scenario.orderMarked(scenario.entry());
      scenario.advanceUntil(() -> order.outcome().isPresent());
    }
  },
  PROBE(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.deployment().advance(Duration.ofMillis(501));
    }
  },
  TAKEOVER(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.advanceUntil(scenario::markedStarted);
      scenario.kill(scenario.steward());
      scenario.deployment().advance(Duration.ofSeconds(1));
    }
  },
  CLEAN_UP(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      SimulatedDaemon steward = scenario.steward();
      for (int index = 0; index < ORPHANS; index++) {
        scenario.caller().ask(steward, "orphan " + index, ORPHAN_TOKENS, ORPHAN_LIMIT);
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
      scenario.deployment().propose(changed(), "operator");
      scenario.advanceUntil(() -> writesSince(scenario, from, "config/head") > 0);
    }
  },
  CONFIGURATION_RELAY(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      long before = scenario.deployment().acceptedGeneration();
      scenario.deployment().propose(changed(), "operator");
      scenario.advanceUntil(() -> scenario.deployment().acceptedGeneration() > before);
    }
  },
  CONFIGURATION_APPLY(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      long before = scenario.deployment().acceptedGeneration();
      scenario.deployment().propose(changed(), "operator");
      scenario.advanceUntil(
          () ->
              scenario.deployment().daemons().stream()
                  .anyMatch(daemon -> daemon.node().status().configurationGeneration() > before));
    }
  },
  PLANNED_STOP(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      Asked question = scenario.askMarked();
      scenario.advanceUntil(() -> question.tokens() > 0);
      String replica = scenario.replicaOf(scenario.engine()).value();
      Instant now = scenario.deployment().time().clock().instant();
      PlannedStop stop = new PlannedStop("vm-" + replica, now, now.plus(Duration.ofHours(1)));
      scenario.deployment().propose(SampleConfiguration.create(ImmutableList.of(stop)), "planner");
      scenario.deployment().advance(Duration.ofMillis(50));
    }
  },
  SERVER_LEAVES(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      Asked question = scenario.askMarked();
      scenario.advanceUntil(() -> question.tokens() > 0);
      var replica = scenario.replicaOf(scenario.engine());
      scenario.deployment().listAs("vm-" + replica.value(), Machine.State.LEAVING);
      scenario.markLeaving(replica);
    }
  },
  DRAIN(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      scenario.askMarked();
      scenario.advanceUntil(scenario::markedStarted);
      SimulatedDaemon steward = scenario.steward();
      steward.run(() -> steward.node().drain());
      scenario.deployment().advance(Duration.ofMillis(50));
    }
  },
  FRESH_START(Kind.CONTROL) {
    @Override
    void reach(Scenario scenario) {
      SimulatedDaemon last = scenario.deployment().daemon(5);
      scenario.kill(last);
      scenario.deployment().propose(changed(), "operator");
      scenario.deployment().advance(Duration.ofSeconds(1));
      scenario.restart(last);
      scenario.deployment().advance(Duration.ofMillis(2));
    }
  };

  /** Enough answers for some to run under the daemon that dies, on engines of its zone. */
  private static final int ORPHANS = 4;

  /** More tokens than an engine generates before the checker looks for memory that was left. */
  private static final int ORPHAN_TOKENS = 10_000;

  private static final Duration ORPHAN_LIMIT = Duration.ofMinutes(9);

  private final Kind kind;

  Step(Kind kind) {
    this.kind = kind;
  }

  /** What a step belongs to. */
  enum Kind {
    QUESTION,
    ORDER,
    CONTROL
  }

  Kind kind() {
    return kind;
  }

  /** Returns whether the step stops something as planned, with the marked question in flight. */
  boolean isPlannedStop() {
    return this == PLANNED_STOP || this == SERVER_LEAVES || this == DRAIN;
  }

  /** Lets the scenario run until the step is about to happen. */
  abstract void reach(Scenario scenario);

  private static dev.apricotmill.core.configuration.Configuration changed() {
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
