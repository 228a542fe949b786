package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.testing.PlatformFault;

/** A write, a fault, or the end of faults, in a fleet of two zones with three processes each. */
enum FollowStep {
  WRITE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.write("a", "" + fleet.time().nanoTime());
    }
  },
  WRITE_ANOTHER {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.write("b", "" + fleet.time().nanoTime());
    }
  },
  REMOVE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.removeIfPresent("a");
    }
  },
  COMPACT_HISTORY {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.store().compact();
    }
  },
  RESTART {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.restart(name);
    }
  },
  PAUSE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.process(name).pause();
    }
  },
  RESUME_ALL {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.resumeAll();
    }
  },
  PARTITION {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.partition(name);
    }
  },
  HEAL_NETWORK {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.healNetwork();
    }
  },
  SLOW_NETWORK {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.slowDown(name);
    }
  },
  STORE_REFUSES_ONE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.failStoreFor(name, PlatformFault.OUT_OF_SERVICE);
    }
  },
  STORE_LOSES_REQUESTS_OF_ONE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.failStoreFor(name, PlatformFault.REQUEST_LOST);
    }
  },
  STORE_UNREACHABLE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.failStore();
    }
  },
  HEAL_STORE {
    @Override
    void apply(FollowerFleet fleet, String name) {
      fleet.store().heal();
    }
  };

  abstract void apply(FollowerFleet fleet, String name);
}
