package dev.apricotmill.node;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.configuration.WatcherRotation;
import dev.apricotmill.coordination.membership.Membership;
import dev.apricotmill.coordination.membership.ProbePayload;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.node.fleet.LeavingMachines;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Tracks which VMs are leaving. At any time, 2 daemons of each zone read the platform's machine
 * list and publish the leaving names in their probe payloads. The platform's load therefore does
 * not grow with the number of daemons, and a zone that cannot reach the platform still learns the
 * names.
 */
final class MachineListWatcher {

  /** How often a daemon reads its peers' payloads and checks whether it must read the list. */
  static final Duration TICK_PERIOD = Duration.ofSeconds(1);

  private static final Duration TURN_DURATION = Duration.ofSeconds(4);
  private static final Duration LIST_TIMEOUT = Duration.ofSeconds(1);

  /** A daemon that got no update for this long reads the list out of turn. */
  private static final Duration STALE_AFTER = Duration.ofSeconds(60);

  /** How often a daemon reads the list out of turn while it gets no updates. */
  private static final Duration STALE_READ_PERIOD = Duration.ofSeconds(10);

  /** How often unchanged names are published again; shorter than the peers' retention. */
  private static final Duration REPUBLISH_PERIOD = Duration.ofSeconds(20);

  private static final int WATCHERS_PER_ZONE = 2;
  private static final int MAXIMUM_PAYLOAD_BYTES = 1 << 10;
  private static final String TURN_NAME = "machine-list";
  private static final String PAYLOAD_PREFIX = "leaving/";
  private static final char SEPARATOR = '\n';

  private final Timing timing;
  private final Platform platform;
  private final Membership membership;
  private final Executor serialExecutor;
  private final Consumer<ImmutableSet<String>> onLeaving;
  private final LeavingMachines leavingMachines = new LeavingMachines();
  private final Map<String, Long> lastSequenceByPayload = new HashMap<>();
  private String publishedNames = "";
  private long publishedNanos;
  private long lastReadNanos;
  private long lastUpdateNanos;
  private volatile boolean platformReachable;
  private volatile boolean stopped;

  MachineListWatcher(
      Timing timing,
      Platform platform,
      Membership membership,
      Executor serialExecutor,
      Consumer<ImmutableSet<String>> onLeaving) {
    this.timing = timing;
    this.platform = platform;
    this.membership = membership;
    this.serialExecutor = serialExecutor;
    this.onLeaving = onLeaving;
  }

  void start() {
    requestMachineList();
    timing.schedule(TICK_PERIOD, this::tick);
  }

  void stop() {
    stopped = true;
  }

  /** Returns whether the last request for the machine list succeeded. */
  boolean platformReachable() {
    return platformReachable;
  }

  private void tick() {
    if (stopped) {
      return;
    }
    timing.schedule(TICK_PERIOD, this::tick);
    serialExecutor.execute(
        () -> {
          readPeerPayloads();
          if (isTurn() || isStaleAndDue()) {
            requestMachineList();
          }
        });
  }

  private boolean isTurn() {
    return WatcherRotation.isWatcher(
        TURN_NAME,
        membership.self(),
        membership.view(),
        timing.clock().instant(),
        TURN_DURATION,
        WATCHERS_PER_ZONE);
  }

  private boolean isStaleAndDue() {
    long now = timing.nanoTime();
    boolean stale = now - lastUpdateNanos >= STALE_AFTER.toNanos();
    return stale && now - lastReadNanos >= STALE_READ_PERIOD.toNanos();
  }

  private void requestMachineList() {
    lastReadNanos = timing.nanoTime();
    platform
        .machines(LIST_TIMEOUT)
        .thenAccept(result -> serialExecutor.execute(() -> onResult(result)));
  }

  private void onResult(MachineListResult result) {
    platformReachable = result instanceof MachineListResult.Listed;
    if (result instanceof MachineListResult.Listed listed) {
      onMachineList(listed.machines());
    }
  }

  private void onMachineList(ImmutableList<Machine> machines) {
    long now = timing.nanoTime();
    lastUpdateNanos = now;
    membership.updateMachines(machines);
    leavingMachines.observeList(machines, now);
    publishIfChangedOrDue(now);
    onLeaving.accept(leavingMachines.leavingNames(now));
  }

  private void publishIfChangedOrDue(long now) {
    String joinedNames = Joiner.on(SEPARATOR).join(leavingMachines.listedLeavingNames(now));
    boolean due = now - publishedNanos >= REPUBLISH_PERIOD.toNanos();
    if (joinedNames.equals(publishedNames) && !due) {
      return;
    }
    publishedNames = joinedNames;
    publishedNanos = now;
    byte[] encodedNames = joinedNames.getBytes(StandardCharsets.UTF_8);
    if (encodedNames.length <= MAXIMUM_PAYLOAD_BYTES) {
      String name = PAYLOAD_PREFIX + membership.self().incarnation().daemon().name();
      long sequence = timing.clock().instant().toEpochMilli();
      membership.publish(new ProbePayload(name, sequence, encodedNames));
    }
  }

  private void readPeerPayloads() {
    long now = timing.nanoTime();
    for (ProbePayload payload : membership.payloads(PAYLOAD_PREFIX)) {
      Long previousSequence = lastSequenceByPayload.put(payload.name(), payload.sequence());
      if (previousSequence == null || payload.sequence() > previousSequence) {
        lastUpdateNanos = now;
        leavingMachines.observePeerReport(namesIn(payload), now);
      }
    }
    onLeaving.accept(leavingMachines.leavingNames(now));
  }

  private static List<String> namesIn(ProbePayload payload) {
    String text = new String(payload.value(), StandardCharsets.UTF_8);
    return Splitter.on(SEPARATOR).omitEmptyStrings().splitToList(text);
  }
}
