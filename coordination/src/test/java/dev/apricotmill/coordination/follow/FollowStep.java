package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.testing.PlatformFault;

/** What may happen to a fleet of two zones with three processes each. */
enum FollowStep {
  WRITE {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.write("a", "" + fleet.time().nanoTime());
    }
  },
  WRITE_ANOTHER {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.write("b", "" + fleet.time().nanoTime());
    }
  },
  REMOVE {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.removeIfPresent("a");
    }
  },
  FORGET_HISTORY {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.store().compact();
    }
  },
  RESTART {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.restart(name);
    }
  },
  FREEZE {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.process(name).freeze();
    }
  },
  WAKE_ALL {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.wakeAll();
    }
  },
  CUT_OFF {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.cutOff(name);
    }
  },
  HEAL_NETWORK {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.healNetwork();
    }
  },
  SLOW_NETWORK {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.slowDown(name);
    }
  },
  STORE_TURNS_AWAY {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.turnAway(name, PlatformFault.OUT_OF_SERVICE);
    }
  },
  STORE_IS_SILENT_TO {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.turnAway(name, PlatformFault.REQUEST_LOST);
    }
  },
  STORE_IS_DOWN {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.storeDown();
    }
  },
  HEAL_STORE {
    @Override
    void apply(FollowingFleet fleet, String name) {
      fleet.store().heal();
    }
  };

  abstract void apply(FollowingFleet fleet, String name);
}
