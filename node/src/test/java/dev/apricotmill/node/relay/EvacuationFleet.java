package dev.apricotmill.node.relay;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Nodes and servers of three zones, and a store with evacuations, in virtual time.
 *
 * <p>It judges each send by what the store holds and by what the node was told, never by what the
 * node says: a node sends nothing to a zone whose evacuation it was told of, nothing before it was
 * told anything, and nothing later than the bound after the evacuation was acknowledged unless it
 * was cut off, frozen or without a store meanwhile.
 */
final class EvacuationFleet {

  static final String KIND = "evacuations";
  static final Duration BOUND = Duration.ofSeconds(5);
  static final ImmutableList<String> ZONES = ImmutableList.of("a", "b", "c");

  /** How much later a request may come while the store is unstable. */
  private static final Duration STRETCH = Duration.ofSeconds(6);

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration WRITE_TIME = Duration.ofMillis(5);
  private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);
  private static final int NODES_PER_ZONE = 3;
  private static final int SERVERS_PER_ZONE = 2;

  private final RandomGenerator random;
  private final VirtualTime time = new VirtualTime();
  private final Timing network = time.newTiming();
  private final FakePlatform store = new FakePlatform(time);
  private final Platform operator = store.clientFor("operator", new Zone("x"), time.newScheduler());
  private final ImmutableMap<ReplicaId, BackendServer> servers;
  private final Map<String, EvacuationNode> nodes = new LinkedHashMap<>();
  private final Map<String, Long> acknowledgedNanos = new HashMap<>();
  private final Map<String, Long> disturbedUntilNanos = new HashMap<>();
  private final Map<String, Long> cutUntilNanos = new HashMap<>();
  private final Map<String, Integer> sends = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long turnedAwayUntilNanos;
  private int ports;

  EvacuationFleet(RandomGenerator random) {
    this.random = random;
    servers = newServers();
    for (String zone : ZONES) {
      for (int i = 0; i < NODES_PER_ZONE; i++) {
        String name = zone + i;
        nodes.put(name, new EvacuationNode(this, name, new Zone(zone), 1));
      }
    }
    updateMembers();
  }

  private static ImmutableMap<ReplicaId, BackendServer> newServers() {
    List<BackendServer> list = new ArrayList<>();
    for (ServiceName service : List.of(RelayFixture.POOL, RelayFixture.DESK)) {
      for (int i = 0; i < ZONES.size() * SERVERS_PER_ZONE; i++) {
        list.add(ServingFixture.server(service, i, ZONES.get(i % ZONES.size()), 1));
      }
    }
    return Maps.uniqueIndex(list, BackendServer::id);
  }

  VirtualTime time() {
    return time;
  }

  Timing network() {
    return network;
  }

  FakePlatform store() {
    return store;
  }

  RandomGenerator random() {
    return random;
  }

  ImmutableMap<ReplicaId, BackendServer> servers() {
    return servers;
  }

  /** Returns the zone of the servers at an address. */
  String zoneAt(PeerAddress address) {
    return servers.values().stream()
        .filter(server -> server.address().equals(address))
        .findFirst()
        .orElseThrow()
        .zone()
        .name();
  }

  int nextPort() {
    return ports++;
  }

  ImmutableList<String> nodeNames() {
    return ImmutableList.copyOf(nodes.keySet());
  }

  EvacuationNode node(String name) {
    return nodes.get(name);
  }

  List<String> violations() {
    return violations;
  }

  /** Returns how many requests and new reservations went to a zone. */
  int sends(String zone) {
    return sends.getOrDefault(zone, 0);
  }

  void advance(Duration duration) {
    time.advance(duration);
  }

  /** Advances the time while each node accepts a request every 50 ms or so. */
  void serve(Duration duration) {
    long endNanos = time.nanoTime() + duration.toNanos();
    while (time.nanoTime() - endNanos < 0) {
      for (EvacuationNode node : nodes.values()) {
        accept(node);
      }
      advance(Duration.ofMillis(20 + random.nextInt(60)));
    }
  }

  private void accept(EvacuationNode node) {
    switch (random.nextInt(8)) {
      case 0, 1 -> node.accept("/order/1", 1_000);
      case 2, 3 -> node.accept("/read/1", 1_000);
      case 4 -> node.accept("/stream/1", 600_000);
      default -> node.accept("/stream/1", 1_000);
    }
  }

  /** Evacuates a zone; the store has acknowledged it when this returns. */
  void evacuate(String zone) {
    put(zone);
    acknowledgedNanos.putIfAbsent(zone, time.nanoTime());
  }

  private void put(String zone) {
    CompletableFuture<WriteResult> result =
        operator
            .put(keyOf(zone), "{}".getBytes(UTF_8), Precondition.absent(), CALL_TIMEOUT)
            .toCompletableFuture();
    advance(WRITE_TIME);
    result.join();
  }

  /** Ends the evacuation of a zone, if there is one. */
  void endEvacuation(String zone) {
    CompletableFuture<ReadResult> found =
        operator.get(keyOf(zone), CALL_TIMEOUT).toCompletableFuture();
    advance(WRITE_TIME);
    if (found.join() instanceof ReadResult.Found present) {
      acknowledgedNanos.remove(zone);
      operator.delete(
          keyOf(zone), Precondition.versionIs(present.object().version()), CALL_TIMEOUT);
      advance(WRITE_TIME);
    }
  }

  /** Restores the store; what its copy lacks is in force again only once it is written again. */
  void restore(FakePlatform.Copy copy) {
    store.restore(copy);
    acknowledgedNanos.clear();
    disturb(nodeNames(), Duration.ZERO);
    for (String zone : ZONES) {
      CompletableFuture<ReadResult> found =
          operator.get(keyOf(zone), CALL_TIMEOUT).toCompletableFuture();
      advance(WRITE_TIME);
      if (found.join() instanceof ReadResult.Found) {
        acknowledgedNanos.put(zone, time.nanoTime());
      }
    }
  }

  private static ObjectKey keyOf(String zone) {
    return new ObjectKey(KIND + "/" + zone);
  }

  /** Lets the store turn these nodes away; others tell them what it holds, if any is left. */
  void turnAway(List<String> names, Duration duration) {
    if (turnedAwayUntilNanos - time.nanoTime() > 0) {
      disturb(nodeNames(), duration);
    }
    turnedAwayUntilNanos = Math.max(turnedAwayUntilNanos, time.nanoTime() + duration.toNanos());
    store.failFor(
        duration, PlatformFault.RATE_LIMITED, request -> names.contains(request.process()));
  }

  /** Lets no node reach the store. */
  void loseStore(Duration duration) {
    store.failFor(
        duration, PlatformFault.UNREACHABLE, request -> !request.process().equals("operator"));
    disturb(nodeNames(), duration);
  }

  /** Cuts a zone off from the others and from the store. */
  void cutOff(String zone, Duration duration) {
    store.failFor(
        duration, PlatformFault.REQUEST_LOST, request -> request.zone().name().equals(zone));
    cutUntilNanos.merge(zone, time.nanoTime() + duration.toNanos(), Math::max);
    disturb(nodeNames().stream().filter(name -> name.startsWith(zone)).toList(), duration);
  }

  void freeze(String name, Duration duration) {
    EvacuationNode node = nodes.get(name);
    if (node.scheduler().isPaused()) {
      return;
    }
    node.scheduler().pause();
    disturb(List.of(name), duration);
    network.schedule(duration, node.scheduler()::resume);
  }

  /** Ends a node, and starts it again without what it knew. */
  EvacuationNode restart(String name) {
    EvacuationNode before = nodes.get(name);
    before.kill();
    EvacuationNode after =
        new EvacuationNode(
            this, name, before.member().zone(), before.member().incarnation().number() + 1);
    nodes.put(name, after);
    updateMembers();
    return after;
  }

  private void updateMembers() {
    ImmutableList<Member> members =
        nodes.values().stream()
            .map(EvacuationNode::member)
            .collect(ImmutableList.toImmutableList());
    nodes.values().forEach(node -> node.updateMembers(members));
  }

  private void disturb(List<String> names, Duration duration) {
    long untilNanos = time.nanoTime() + duration.toNanos();
    names.forEach(name -> disturbedUntilNanos.merge(name, untilNanos, Math::max));
  }

  boolean isLinked(String firstZone, String secondZone) {
    return firstZone.equals(secondZone) || !(isCutOff(firstZone) || isCutOff(secondZone));
  }

  private boolean isCutOff(String zone) {
    return cutUntilNanos.getOrDefault(zone, 0L) - time.nanoTime() > 0;
  }

  /** Delivers a message to the node at an address, unless it is lost on the way. */
  void deliver(EvacuationNode from, PeerAddress to, Consumer<EvacuationNode> message) {
    nodes.values().stream()
        .filter(node -> node.member().address().equals(to))
        .filter(node -> isLinked(from.member().zone().name(), node.member().zone().name()))
        .forEach(node -> node.timing().schedule(ONE_WAY_DELAY, () -> message.accept(node)));
  }

  /** Judges a request that a node sends now. */
  void recordSend(EvacuationNode node, String zone, String what) {
    sends.merge(zone, 1, Integer::sum);
    if (!node.witness().hasRead()) {
      violations.add(what + " of " + node.name() + " before its first read");
    }
    if (node.witness().knowsOf(zone)) {
      violations.add(what + " of " + node.name() + " to " + zone + ", which it knows of");
    }
    Long acknowledged = acknowledgedNanos.get(zone);
    if (acknowledged != null && time.nanoTime() - latest(node, acknowledged) > 0) {
      violations.add(
          what
              + " of "
              + node.name()
              + " to "
              + zone
              + " at "
              + time.nanoTime()
              + ", evacuated at "
              + acknowledged);
    }
  }

  /** Returns until when a node may send to a zone whose evacuation was acknowledged. */
  private long latest(EvacuationNode node, long acknowledged) {
    long disturbedUntil = disturbedUntilNanos.getOrDefault(node.name(), 0L);
    return disturbedUntil - acknowledged > 0
        ? disturbedUntil + BOUND.plus(STRETCH).toNanos()
        : acknowledged + BOUND.toNanos();
  }
}
