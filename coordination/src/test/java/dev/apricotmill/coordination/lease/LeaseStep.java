package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import java.util.List;

/** An event or injected fault in a test with several processes that compete for a lease. */
enum LeaseStep {
  WAIT {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {}
  },
  PAUSE_HOLDER {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      contenders.stream()
          .filter(LeaseContender::holds)
          .forEach(contender -> contender.scheduler().pause());
    }
  },
  RESUME_ALL {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      contenders.forEach(contender -> contender.scheduler().resume());
    }
  },
  PARTITION_HOLDER {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      contenders.stream()
          .filter(LeaseContender::holds)
          .forEach(contender -> platform.failProcess(contender.name(), PlatformFault.UNREACHABLE));
    }
  },
  LOSE_RESPONSES {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      platform.failNext(
          3, PlatformFault.ANSWER_LOST, call -> call.operation() == PlatformOperation.PUT);
    }
  },
  DELAY_WRITES {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      platform.failNext(
          2, PlatformFault.DELAYED_WRITE, call -> call.operation() == PlatformOperation.PUT);
    }
  },
  OUTAGE {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      platform.fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> contenders) {
      platform.heal();
    }
  };

  abstract void apply(FakePlatform platform, List<LeaseContender> contenders);

  static void endAllFaults(FakePlatform platform, List<LeaseContender> contenders) {
    HEAL.apply(platform, contenders);
    RESUME_ALL.apply(platform, contenders);
  }
}
