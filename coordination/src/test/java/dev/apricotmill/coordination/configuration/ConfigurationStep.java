package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;

/** What happens while operators propose changes. */
enum ConfigurationStep {
  FIRST_PROPOSES {
    @Override
    void apply(ConfigurationRun run) {
      run.propose(0);
    }
  },
  SECOND_PROPOSES {
    @Override
    void apply(ConfigurationRun run) {
      run.propose(1);
    }
  },
  BOTH_PROPOSE {
    @Override
    void apply(ConfigurationRun run) {
      run.propose(0);
      run.propose(1);
    }
  },
  REPEAT_LAST {
    @Override
    void apply(ConfigurationRun run) {
      run.repeatLast();
    }
  },
  LOSE_ANSWER {
    @Override
    void apply(ConfigurationRun run) {
      run.failWrites(PlatformFault.ANSWER_LOST);
    }
  },
  LATE_WRITE {
    @Override
    void apply(ConfigurationRun run) {
      run.failWrites(PlatformFault.LATE_WRITE);
    }
  },
  LOSE_REQUEST {
    @Override
    void apply(ConfigurationRun run) {
      run.failWrites(PlatformFault.REQUEST_LOST);
    }
  },
  READS_FAIL {
    @Override
    void apply(ConfigurationRun run) {
      run.platform()
          .failNext(
              3, PlatformFault.UNREACHABLE, call -> call.operation() == PlatformOperation.GET);
    }
  },
  OUTAGE {
    @Override
    void apply(ConfigurationRun run) {
      run.platform().fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(ConfigurationRun run) {
      run.platform().heal();
    }
  };

  abstract void apply(ConfigurationRun run);
}
