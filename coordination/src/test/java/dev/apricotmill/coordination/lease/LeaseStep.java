package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import java.util.List;

/** What happens to processes that want a lease. */
enum LeaseStep {
  WAIT {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {}
  },
  FREEZE_HOLDER {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      holders.stream().filter(LeaseHolder::holds).forEach(holder -> holder.scheduler().pause());
    }
  },
  WAKE_ALL {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      holders.forEach(holder -> holder.scheduler().resume());
    }
  },
  CUT_HOLDER_OFF {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      holders.stream()
          .filter(LeaseHolder::holds)
          .forEach(holder -> platform.failProcess(holder.name(), PlatformFault.UNREACHABLE));
    }
  },
  LOSE_ANSWERS {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      platform.failNext(
          3, PlatformFault.ANSWER_LOST, call -> call.operation() == PlatformOperation.PUT);
    }
  },
  LATE_WRITES {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      platform.failNext(
          2, PlatformFault.DELAYED_WRITE, call -> call.operation() == PlatformOperation.PUT);
    }
  },
  OUTAGE {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      platform.fail(PlatformFault.OUT_OF_SERVICE);
    }
  },
  HEAL {
    @Override
    void apply(FakePlatform platform, List<LeaseHolder> holders) {
      platform.heal();
    }
  };

  abstract void apply(FakePlatform platform, List<LeaseHolder> holders);

  static void heal(FakePlatform platform, List<LeaseHolder> holders) {
    HEAL.apply(platform, holders);
    WAKE_ALL.apply(platform, holders);
  }
}
