package dev.apricotmill.coordination.follow;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.StoredObject;
import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.ResponseTimer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Processes in several zones that follow one prefix, on virtual time and a faulty network. */
final class FollowerFleet {

  static final String PREFIX = "things/";

  /** The smallest maximum staleness that any deployment uses. */
  static final Duration MAX_STALENESS = Duration.ofSeconds(2);

  static final FollowSettings SETTINGS = FollowSettings.within(MAX_STALENESS);

  private static final Duration WRITE_DELAY = Duration.ofMillis(5);
  private static final Duration SLOW_ONE_WAY_DELAY = Duration.ofMillis(110);
  private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);
  private static final PollResult NO_RESPONSE = new PollResult(Optional.empty(), 0);
  private static final long UNLIMITED = Long.MAX_VALUE;

  private final FollowSettings settings;
  private final RandomGenerator random;
  private final VirtualTime time = new VirtualTime();
  private final FakePlatform store = new FakePlatform(time);
  private final Platform operator = store.clientFor("operator", new Zone("x"), time.newScheduler());
  private final Map<String, Follower> processes = new LinkedHashMap<>();
  private final Set<String> partitioned = new HashSet<>();
  private final Set<String> slow = new HashSet<>();
  private final ChangeHistory history = new ChangeHistory();
  private final Map<ObjectKey, Long> versions = new HashMap<>();
  private long messages;
  private long linkBytesPerSecond = UNLIMITED;

  FollowerFleet() {
    this(SETTINGS, new SplittableRandom(1));
  }

  FollowerFleet(FollowSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  /** Limits both directions of the links of the processes that are started after this. */
  void limitLinks(long bytesPerSecond) {
    linkBytesPerSecond = bytesPerSecond;
  }

  /** One process and the content that it received. */
  final class Follower implements FollowListener {

    private final Member member;
    private final VirtualScheduler scheduler;
    private final SharedFollower follower;
    private final Map<String, String> content = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> newestVersions = new HashMap<>();
    private final SlowLink uplink;
    private final SlowLink downlink;
    private @Nullable ReadTimestamp validatedAt;
    private boolean killed;

    Follower(Member member) {
      this.member = member;
      scheduler = time.newScheduler();
      uplink = new SlowLink(scheduler, linkBytesPerSecond);
      downlink = new SlowLink(scheduler, linkBytesPerSecond);
      follower =
          new SharedFollower(
              new SlowLinkPlatform(
                  store.clientFor(name(), member.zone(), scheduler),
                  downlink,
                  time.timingOf(scheduler)),
              time.timingOf(scheduler),
              random,
              member,
              this::poll,
              FollowObserver.NONE);
      follower.follow(PREFIX, settings, this);
      follower.start();
    }

    String name() {
      return member.incarnation().daemon().name();
    }

    Map<String, String> content() {
      return content;
    }

    List<String> violations() {
      return violations;
    }

    Optional<ReadTimestamp> validatedAt() {
      return Optional.ofNullable(validatedAt);
    }

    void pause() {
      scheduler.pause();
    }

    Duration staleness() {
      return validatedAt == null ? Duration.ofDays(1) : validatedAt.age(time.nanoTime());
    }

    private void poll(
        Member peer, FollowRequest request, ResponseLimits limits, Consumer<PollResult> callback) {
      Follower target = processes.get(peer.incarnation().daemon().name());
      Consumer<PollResult> once = onlyOnce(callback);
      if (target == null || target.killed) {
        scheduler.schedule(
            () -> once.accept(NO_RESPONSE), ONE_WAY_DELAY.toNanos(), TimeUnit.NANOSECONDS);
        return;
      }
      AtomicInteger receivedBytes = new AtomicInteger();
      ResponseTimer timer =
          ResponseTimer.start(
              time.timingOf(scheduler),
              limits,
              () -> once.accept(new PollResult(Optional.empty(), receivedBytes.get())));
      send(
          this,
          target,
          () ->
              target.follower.onPoll(
                  request,
                  response ->
                      sendOverLinks(
                          target,
                          this,
                          SlowLinkPlatform.bytesOf(response),
                          bytes -> {
                            receivedBytes.addAndGet(bytes);
                            timer.onProgress();
                          },
                          () -> once.accept(new PollResult(Optional.of(response), 0)))));
    }

    @Override
    public void onSnapshot(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
      content.clear();
      objects.forEach(this::put);
      validatedAt = readAt;
      violations.addAll(history.violationsOf(content, validatedAt));
    }

    @Override
    public void onStoreRestored(ImmutableList<StoredObject> objects, ReadTimestamp readAt) {
      newestVersions.clear();
      onSnapshot(objects, readAt);
    }

    @Override
    public void onChanges(WatchResult.Changes changes, ReadTimestamp readAt) {
      changes.removed().forEach(key -> content.remove(key.path()));
      changes.changed().forEach(this::put);
      validatedAt = readAt;
      violations.addAll(history.violationsOf(content, validatedAt));
    }

    @Override
    public void onUnavailable(PlatformFailure failure) {}

    private void put(StoredObject object) {
      long before = newestVersions.getOrDefault(object.key().path(), 0L);
      if (object.version() < before
          || (object.version() == before && !content.containsKey(object.key().path()))) {
        violations.add(object + " received after version " + before);
      }
      newestVersions.put(object.key().path(), object.version());
      content.put(object.key().path(), object.text());
    }
  }

  private static <T> Consumer<T> onlyOnce(Consumer<T> callback) {
    boolean[] done = new boolean[1];
    return value -> {
      if (!done[0]) {
        done[0] = true;
        callback.accept(value);
      }
    };
  }

  private void send(Follower from, Follower to, Runnable delivery) {
    messages++;
    if (partitioned.contains(from.name()) || partitioned.contains(to.name())) {
      return;
    }
    boolean late = slow.contains(from.name()) || slow.contains(to.name());
    to.scheduler.schedule(
        delivery, (late ? SLOW_ONE_WAY_DELAY : ONE_WAY_DELAY).toNanos(), TimeUnit.NANOSECONDS);
  }

  /** Sends a response through the sender's uplink and the receiver's downlink. */
  private void sendOverLinks(
      Follower from, Follower to, int bytes, IntConsumer onReceived, Runnable onComplete) {
    if (bytes == 0) {
      send(from, to, onComplete);
      return;
    }
    AtomicInteger unsent = new AtomicInteger(bytes);
    from.uplink.send(
        bytes,
        remaining -> {
          int fragment = unsent.getAndSet(remaining) - remaining;
          Runnable onLast = remaining == 0 ? onComplete : () -> {};
          send(from, to, () -> to.downlink.sendFragment(fragment, onReceived, onLast));
        });
  }

  static Member member(String name, String zone, long incarnation) {
    return new Member(
        new Incarnation(new DaemonId(name), incarnation),
        new Zone(zone),
        new PeerAddress("10.0.0.1", 9000),
        MemberState.ALIVE);
  }

  /** Starts processes that know each other as members. */
  void start(int zones, int perZone) {
    for (int zone = 0; zone < zones; zone++) {
      for (int index = 0; index < perZone; index++) {
        String name = "z" + zone + "-" + index;
        processes.put(name, new Follower(member(name, "z" + zone, 1)));
      }
    }
    updateMembers();
  }

  /** Restarts a process without its content. */
  Follower restart(String name) {
    Follower previous = processes.get(name);
    kill(name);
    Follower restarted =
        new Follower(
            member(
                name, previous.member.zone().name(), previous.member.incarnation().number() + 1));
    processes.put(name, restarted);
    updateMembers();
    return restarted;
  }

  private void updateMembers() {
    List<Member> members = processes.values().stream().map(process -> process.member).toList();
    processes.values().forEach(process -> process.follower.updateMembers(members));
  }

  void kill(String name) {
    Follower process = processes.get(name);
    process.killed = true;
    process.follower.close();
    process.scheduler.shutdown();
  }

  /** Drops all messages between a process and the others, without an error. */
  void partition(String name) {
    partitioned.add(name);
  }

  /** Delays all messages from and to a process. */
  void slowDown(String name) {
    slow.add(name);
  }

  void resumeAll() {
    processes.values().forEach(process -> process.scheduler.resume());
  }

  void healNetwork() {
    partitioned.clear();
    slow.clear();
  }

  /** Makes the store unreachable for all processes but the operator. */
  void failStore() {
    store.fail(PlatformFault.UNREACHABLE, request -> !request.process().equals("operator"));
  }

  void failStoreFor(String name, PlatformFault fault) {
    store.failProcess(name, fault);
  }

  FakePlatform store() {
    return store;
  }

  VirtualTime time() {
    return time;
  }

  long messages() {
    return messages;
  }

  List<Follower> running() {
    return processes.values().stream().filter(process -> !process.killed).toList();
  }

  Follower process(String name) {
    return processes.get(name);
  }

  /** Returns a zone's processes by rank; without failures the first reads the store. */
  ImmutableList<String> namesByRank(String zone) {
    return RendezvousHash.ranked(
            processes.values().stream()
                .map(process -> process.member)
                .filter(member -> member.zone().name().equals(zone))
                .toList(),
            zone)
        .map(member -> member.incarnation().daemon().name())
        .collect(ImmutableList.toImmutableList());
  }

  void advance(Duration duration) {
    time.advance(duration);
  }

  /** Writes an object as the operator; the write is acknowledged when this returns. */
  void write(String name, String value) {
    ObjectKey key = new ObjectKey(PREFIX + name);
    history.begin(key, Optional.of(value));
    operator
        .put(
            key,
            value.getBytes(UTF_8),
            Precondition.versionIs(versions.getOrDefault(key, 0L)),
            Duration.ofSeconds(1))
        .thenAccept(result -> versions.put(key, ((WriteResult.Written) result).version()));
    acknowledge(key);
  }

  private void acknowledge(ObjectKey key) {
    advance(WRITE_DELAY);
    history.acknowledge(key, time.nanoTime());
  }

  /** Removes an object as the operator; the removal is acknowledged when this returns. */
  void remove(String name) {
    ObjectKey key = new ObjectKey(PREFIX + name);
    history.begin(key, Optional.empty());
    operator.delete(key, Precondition.versionIs(versions.remove(key)), Duration.ofSeconds(1));
    acknowledge(key);
  }

  void removeIfPresent(String name) {
    if (versions.containsKey(new ObjectKey(PREFIX + name))) {
      remove(name);
    }
  }

  /** Returns the values that the operator wrote last, by path. */
  Map<String, String> expectedContent() {
    return history.newestValues();
  }

  /** Returns the number of reads of the store since {@code fromNanos}. */
  long readsSince(long fromNanos) {
    return store.log().countSince(fromNanos, request -> !request.operation().isWrite());
  }
}
