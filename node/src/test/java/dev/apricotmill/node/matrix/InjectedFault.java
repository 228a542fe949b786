package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.node.testing.SampleConfiguration;
import dev.apricotmill.node.testing.SimulatedDaemon;
import dev.apricotmill.testhelpers.engine.EngineOperation;
import dev.apricotmill.testhelpers.engine.FakeEngine;
import dev.apricotmill.testhelpers.fault.Fault;
import dev.apricotmill.testhelpers.peers.Link;
import dev.apricotmill.testhelpers.service.ServiceOperation;
import java.time.Duration;
import java.util.Optional;

/** The faults of the matrix; each is injected into a scenario and healed after some time. */
enum InjectedFault {
  NOTHING {
    @Override
    Runnable inject(Scenario scenario) {
      return () -> {};
    }
  },
  ENTRY_DIES {
    @Override
    Runnable inject(Scenario scenario) {
      SimulatedDaemon daemon = scenario.entryDaemon();
      scenario.kill(daemon);
      return () -> scenario.restart(daemon);
    }
  },
  ENTRY_FREEZES {
    @Override
    Runnable inject(Scenario scenario) {
      return freeze(scenario, scenario.entryDaemon());
    }
  },
  STEWARD_DIES {
    @Override
    Runnable inject(Scenario scenario) {
      SimulatedDaemon daemon = scenario.stewardDaemon();
      scenario.kill(daemon);
      return () -> scenario.restart(daemon);
    }
  },
  STEWARD_FREEZES {
    @Override
    Runnable inject(Scenario scenario) {
      return freeze(scenario, scenario.stewardDaemon());
    }

    @Override
    Optional<ImpossibleReason> impossibleAt(Step step) {
      return step == Step.TAKEOVER || step == Step.CLEAN_UP
          ? Optional.of(ImpossibleReason.PROCESS_ALREADY_GONE)
          : Optional.empty();
    }
  },
  ENGINE_DIES {
    @Override
    Runnable inject(Scenario scenario) {
      FakeEngine engine = scenario.trackedEngine();
      engine.core().kill();
      return () -> engine.core().restart();
    }
  },
  ENGINE_FREEZES {
    @Override
    Runnable inject(Scenario scenario) {
      FakeEngine engine = scenario.trackedEngine();
      engine.core().freeze();
      return () -> engine.core().thaw();
    }
  },
  ENGINES_REFUSE {
    @Override
    Runnable inject(Scenario scenario) {
      for (FakeEngine engine : scenario.deployment().engines().values()) {
        engine.faults().always(EngineOperation.GENERATE, Fault.REFUSED);
      }
      return () ->
          scenario
              .deployment()
              .engines()
              .values()
              .forEach(engine -> engine.faults().clear(EngineOperation.GENERATE));
    }
  },
  ENGINE_SLOW {
    @Override
    Runnable inject(Scenario scenario) {
      FakeEngine engine = scenario.trackedEngine();
      engine.setLatency(Duration.ofMillis(400));
      return () -> engine.setLatency(Duration.ofNanos(500_000));
    }
  },
  ANSWER_LATE {
    @Override
    Runnable inject(Scenario scenario) {
      return everyAnswer(scenario, Fault.LATE);
    }
  },
  ANSWER_CUT {
    @Override
    Runnable inject(Scenario scenario) {
      return nextAnswers(scenario, Fault.CUT);
    }
  },
  ANSWER_TRUNCATED {
    @Override
    Runnable inject(Scenario scenario) {
      return nextAnswers(scenario, Fault.TRUNCATED);
    }
  },
  ANSWER_CROSSED {
    @Override
    Runnable inject(Scenario scenario) {
      return nextAnswers(scenario, Fault.FOREIGN_CHUNK);
    }
  },
  ANSWER_DUPLICATED {
    @Override
    Runnable inject(Scenario scenario) {
      return nextAnswers(scenario, Fault.DUPLICATED_CHUNK);
    }
  },
  ANSWER_LOST {
    @Override
    Runnable inject(Scenario scenario) {
      return nextAnswers(scenario, Fault.LOST_AFTER_EFFECT);
    }
  },
  CANCEL_LOST {
    @Override
    Runnable inject(Scenario scenario) {
      for (FakeEngine engine : scenario.deployment().engines().values()) {
        engine.faults().always(EngineOperation.CANCEL, Fault.LOST_BEFORE_EFFECT);
      }
      return () ->
          scenario
              .deployment()
              .engines()
              .values()
              .forEach(engine -> engine.faults().clear(EngineOperation.CANCEL));
    }
  },
  SERVICE_DIES {
    @Override
    Runnable inject(Scenario scenario) {
      return linkServices(scenario, Link.REFUSING);
    }
  },
  SERVICE_FREEZES {
    @Override
    Runnable inject(Scenario scenario) {
      return linkServices(scenario, Link.SILENT);
    }
  },
  PLATFORM_DOWN {
    @Override
    Runnable inject(Scenario scenario) {
      return failPlatform(scenario, PlatformFault.UNREACHABLE);
    }
  },
  PLATFORM_SLOW {
    @Override
    Runnable inject(Scenario scenario) {
      return failPlatform(scenario, PlatformFault.SLOW);
    }
  },
  PLATFORM_ANSWERS_LOST {
    @Override
    Runnable inject(Scenario scenario) {
      return failPlatform(scenario, PlatformFault.ANSWER_LOST);
    }
  },
  PLATFORM_WRITES_LATE {
    @Override
    Runnable inject(Scenario scenario) {
      return failPlatform(scenario, PlatformFault.DELAYED_WRITE);
    }
  },
  PLATFORM_LIMITS {
    @Override
    Runnable inject(Scenario scenario) {
      return failPlatform(scenario, PlatformFault.RATE_LIMITED);
    }
  },
  LIST_STALE {
    @Override
    Runnable inject(Scenario scenario) {
      scenario.deployment().platform().setMachineListLag(Duration.ofSeconds(4));
      return () -> scenario.deployment().platform().setMachineListLag(Duration.ZERO);
    }
  },
  LIST_WRONG {
    @Override
    Runnable inject(Scenario scenario) {
      ImmutableList<Machine> correctList = scenario.deployment().machines();
      scenario.deployment().platform().setMachines(ImmutableList.of());
      return () -> scenario.deployment().platform().setMachines(correctList);
    }
  },
  ZONE_CUT_FROM_ZONES {
    @Override
    Runnable inject(Scenario scenario) {
      scenario.deployment().cutZone(scenario.firstZone());
      scenario.recordZoneIsolated();
      return () -> {
        scenario.deployment().healZone(scenario.firstZone());
        scenario.recordZoneRejoined();
      };
    }
  },
  ZONE_CUT_ONE_WAY {
    @Override
    Runnable inject(Scenario scenario) {
      scenario.deployment().cutZoneOneWay(scenario.firstZone());
      return () -> scenario.deployment().healZone(scenario.firstZone());
    }
  },
  ZONE_CUT_FROM_PLATFORM {
    @Override
    Runnable inject(Scenario scenario) {
      scenario.deployment().platform().failZone(scenario.firstZone(), PlatformFault.REQUEST_LOST);
      return () -> scenario.deployment().platform().heal();
    }
  },
  ZONE_CUT_FROM_BOTH {
    @Override
    Runnable inject(Scenario scenario) {
      Runnable healZones = ZONE_CUT_FROM_ZONES.inject(scenario);
      Runnable healPlatform = ZONE_CUT_FROM_PLATFORM.inject(scenario);
      return () -> {
        healZones.run();
        healPlatform.run();
      };
    }
  },
  OPERATORS_RACE {
    @Override
    Runnable inject(Scenario scenario) {
      scenario.deployment().propose(SampleConfiguration.create(), "first");
      scenario.deployment().propose(SampleConfiguration.create(), "second");
      return () -> {};
    }
  };

  /** Injects the fault and returns the action that heals it. */
  abstract Runnable inject(Scenario scenario);

  /** Returns why the fault cannot occur at a step, empty if it can. */
  Optional<ImpossibleReason> impossibleAt(Step step) {
    return Optional.empty();
  }

  private static Runnable freeze(Scenario scenario, SimulatedDaemon daemon) {
    daemon.pause();
    return () -> scenario.resume(daemon);
  }

  private static Runnable failPlatform(Scenario scenario, PlatformFault fault) {
    scenario.deployment().platform().fail(fault);
    return () -> scenario.deployment().platform().heal();
  }

  private static Runnable linkServices(Scenario scenario, Link link) {
    for (Replica replica : SampleConfiguration.serviceReplicas()) {
      scenario.deployment().service().setLink(replica.id(), link);
    }
    return () -> {
      for (Replica replica : SampleConfiguration.serviceReplicas()) {
        scenario.deployment().service().setLink(replica.id(), Link.UP);
      }
    };
  }

  private static Runnable nextAnswers(Scenario scenario, Fault fault) {
    for (FakeEngine engine : scenario.deployment().engines().values()) {
      engine.faults().once(EngineOperation.GENERATE, fault);
    }
    scenario.deployment().service().faults().once(ServiceOperation.ORDER, fault);
    return () -> {};
  }

  private static Runnable everyAnswer(Scenario scenario, Fault fault) {
    for (FakeEngine engine : scenario.deployment().engines().values()) {
      engine.faults().always(EngineOperation.GENERATE, fault);
    }
    scenario.deployment().service().faults().always(ServiceOperation.ORDER, fault);
    return () -> {
      for (FakeEngine engine : scenario.deployment().engines().values()) {
        engine.faults().clear(EngineOperation.GENERATE);
      }
      scenario.deployment().service().faults().clear(ServiceOperation.ORDER);
    };
  }
}
