package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import java.util.List;

/** What happens to processes that want a lease. */
enum LeaseStep {
  WAIT {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {}
  },
  PAUSE_HOLDER {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      holders.stream().filter(LeaseContender::holds).forEach(holder -> holder.scheduler().pause());
    }
  },
  RESUME_ALL {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      holders.forEach(holder -> holder.scheduler().resume());
    }
  },
  PARTITION_HOLDER {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      holders.stream()
          .filter(LeaseContender::holds)
          .forEach(holder -> platform.failProcess(holder.name(), PlatformFault.UNREACHABLE));
    }
  },
  LOSE_RESPONSES {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      platform.failNext(
          3, PlatformFault.ANSWER_LOST, call -> call.operation() == PlatformOperation.PUT);
    }
  },
  DELAY_WRITES {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      platform.failNext(
          2, PlatformFault.LATE_WRITE, call -> call.operation() == PlatformOperation.PUT);
    }
  },
  OUTAGE {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      platform.fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(FakePlatform platform, List<LeaseContender> holders) {
      platform.heal();
    }
  };

  abstract void apply(FakePlatform platform, List<LeaseContender> holders);

  static void endAllFaults(FakePlatform platform, List<LeaseContender> contenders) {
    HEAL.apply(platform, contenders);
    RESUME_ALL.apply(platform, contenders);
  }
}
