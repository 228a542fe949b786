package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** A process that competes for a lease, and records when it acquires and loses it. */
final class LeaseContender implements LeaseListener {

  private final String name;
  private final VirtualScheduler scheduler;
  private final Lease lease;
  private final List<Long> fencingNumbers = new ArrayList<>();
  private int losses;

  LeaseContender(VirtualTime time, FakePlatform platform, String name) {
    this.name = name;
    this.scheduler = time.newScheduler();
    this.lease =
        new Lease(
            time.timingOf(scheduler),
            platform.clientFor(name, new Zone("z1"), scheduler),
            LeaseSettings.defaults(),
            new SplittableRandom(name.hashCode()),
            new ObjectKey("lease/orders"),
            new Incarnation(new DaemonId(name), 1),
            this);
    lease.start();
  }

  String name() {
    return name;
  }

  Lease lease() {
    return lease;
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  OptionalLong fencingNumber() {
    return lease.fencingNumber();
  }

  boolean holds() {
    return fencingNumber().isPresent();
  }

  List<Long> fencingNumbers() {
    return fencingNumbers;
  }

  int losses() {
    return losses;
  }

  @Override
  public void onAcquired(LeaseState.Held held) {
    fencingNumbers.add(held.fencingNumber());
  }

  @Override
  public void onLost() {
    losses++;
  }
}
