package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;

/** A step of a {@link ConfigurationSimulation}: a proposal, or a change to the injected faults. */
enum ConfigurationStep {
  FIRST_PROPOSES {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.propose(0);
    }
  },
  SECOND_PROPOSES {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.propose(1);
    }
  },
  BOTH_PROPOSE {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.propose(0);
      simulation.propose(1);
    }
  },
  REPEAT_LAST {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.repeatLast();
    }
  },
  LOSE_RESPONSE {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.failNextWrite(PlatformFault.ANSWER_LOST);
    }
  },
  DELAY_WRITE {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.failNextWrite(PlatformFault.DELAYED_WRITE);
    }
  },
  LOSE_REQUEST {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.failNextWrite(PlatformFault.REQUEST_LOST);
    }
  },
  FAIL_READS {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation
          .platform()
          .failNext(
              3, PlatformFault.UNREACHABLE, call -> call.operation() == PlatformOperation.GET);
    }
  },
  TAKE_PLATFORM_DOWN {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.platform().fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  END_ALL_FAULTS {
    @Override
    void apply(ConfigurationSimulation simulation) {
      simulation.platform().heal();
    }
  };

  abstract void apply(ConfigurationSimulation simulation);
}
