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
 * Knows which VMs are leaving. Two daemons of each zone read the platform's list in turn and spread
 * the names with the probes, so that the platform's load does not grow with the daemons and a zone
 * that is cut off from the platform still hears of them.
 */
final class MachineWatch {

  /** How often a daemon looks for news. */
  static final Duration PERIOD = Duration.ofSeconds(1);

  private static final Duration TURN = Duration.ofSeconds(4);
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** A daemon that heard of no list for so long reads it itself. */
  private static final Duration STALE_AFTER = Duration.ofSeconds(60);

  /** How often a daemon without the turn reads the list while it hears of none. */
  private static final Duration STALE_PERIOD = Duration.ofSeconds(10);

  /** How often names are spread though nothing changed; peers forget them later than that. */
  private static final Duration REPUBLISH_PERIOD = Duration.ofSeconds(20);

  private static final int WATCHERS_PER_ZONE = 2;
  private static final int MAXIMUM_PAYLOAD_BYTES = 1 << 10;
  private static final String DUTY = "machine-list";
  private static final String PAYLOAD_PREFIX = "leaving/";
  private static final char SEPARATOR = '\n';

  private final Timing timing;
  private final Platform platform;
  private final Membership membership;
  private final Executor serial;
  private final Consumer<ImmutableSet<String>> onLeaving;
  private final LeavingMachines leaving = new LeavingMachines();
  private final Map<String, Long> heardSequences = new HashMap<>();
  private String published = "";
  private long publishedNanos;
  private long lastReadNanos;
  private long lastNewsNanos;
  private volatile boolean reachable;
  private volatile boolean stopped;

  MachineWatch(
      Timing timing,
      Platform platform,
      Membership membership,
      Executor serial,
      Consumer<ImmutableSet<String>> onLeaving) {
    this.timing = timing;
    this.platform = platform;
    this.membership = membership;
    this.serial = serial;
    this.onLeaving = onLeaving;
  }

  void start() {
    read();
    timing.schedule(PERIOD, this::tick);
  }

  void stop() {
    stopped = true;
  }

  /** Returns whether the platform answered the last time this daemon asked. */
  boolean platformReachable() {
    return reachable;
  }

  private void tick() {
    if (stopped) {
      return;
    }
    timing.schedule(PERIOD, this::tick);
    serial.execute(
        () -> {
          hearPeers();
          if (isTurn() || isStaleAndDue()) {
            read();
          }
        });
  }

  private boolean isTurn() {
    return WatcherRotation.isWatcher(
        DUTY,
        membership.self(),
        membership.view(),
        timing.clock().instant(),
        TURN,
        WATCHERS_PER_ZONE);
  }

  private boolean isStaleAndDue() {
    long now = timing.nanoTime();
    boolean stale = now - lastNewsNanos >= STALE_AFTER.toNanos();
    return stale && now - lastReadNanos >= STALE_PERIOD.toNanos();
  }

  private void read() {
    lastReadNanos = timing.nanoTime();
    platform.machines(TIMEOUT).thenAccept(result -> serial.execute(() -> onResult(result)));
  }

  private void onResult(MachineListResult result) {
    reachable = result instanceof MachineListResult.Listed;
    if (result instanceof MachineListResult.Listed listed) {
      onList(listed.machines());
    }
  }

  private void onList(ImmutableList<Machine> machines) {
    long now = timing.nanoTime();
    lastNewsNanos = now;
    membership.seed(machines);
    leaving.observeList(machines, now);
    publish(now);
    onLeaving.accept(leaving.names(now));
  }

  private void publish(long now) {
    String text = Joiner.on(SEPARATOR).join(leaving.listed(now));
    boolean due = now - publishedNanos >= REPUBLISH_PERIOD.toNanos();
    if (text.equals(published) && !due) {
      return;
    }
    published = text;
    publishedNanos = now;
    byte[] names = text.getBytes(StandardCharsets.UTF_8);
    if (names.length <= MAXIMUM_PAYLOAD_BYTES) {
      String name = PAYLOAD_PREFIX + membership.self().incarnation().daemon().name();
      long sequence = timing.clock().instant().toEpochMilli();
      membership.publish(new ProbePayload(name, sequence, names));
    }
  }

  private void hearPeers() {
    long now = timing.nanoTime();
    for (ProbePayload payload : membership.payloads(PAYLOAD_PREFIX)) {
      Long before = heardSequences.put(payload.name(), payload.sequence());
      if (before == null || payload.sequence() > before) {
        lastNewsNanos = now;
        leaving.observePeer(namesIn(payload), now);
      }
    }
    onLeaving.accept(leaving.names(now));
  }

  private static List<String> namesIn(ProbePayload payload) {
    String text = new String(payload.value(), StandardCharsets.UTF_8);
    return Splitter.on(SEPARATOR).omitEmptyStrings().splitToList(text);
  }
}
