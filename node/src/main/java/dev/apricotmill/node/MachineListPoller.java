package dev.apricotmill.node;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.function.Consumer;

/** Reads the platform's list of VMs again and again. */
final class MachineListPoller {

  /** How often the list is read. */
  static final Duration PERIOD = Duration.ofSeconds(2);

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final Timing timing;
  private final Platform platform;
  private final Consumer<ImmutableList<Machine>> onList;
  private volatile boolean reachable;
  private volatile boolean stopped;

  MachineListPoller(Timing timing, Platform platform, Consumer<ImmutableList<Machine>> onList) {
    this.timing = timing;
    this.platform = platform;
    this.onList = onList;
  }

  void start() {
    poll();
  }

  void stop() {
    stopped = true;
  }

  /** Returns whether the platform answered the last time. */
  boolean platformReachable() {
    return reachable;
  }

  private void poll() {
    if (!stopped) {
      platform.machines(TIMEOUT).thenAccept(this::onResult);
    }
  }

  private void onResult(MachineListResult result) {
    reachable = result instanceof MachineListResult.Listed;
    if (result instanceof MachineListResult.Listed listed) {
      onList.accept(listed.machines());
    }
    timing.schedule(PERIOD, this::poll);
  }
}
