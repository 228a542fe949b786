package dev.apricotmill.node.testing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.testhelpers.engine.EngineSettings;
import dev.apricotmill.testhelpers.engine.FakeEngine;
import dev.apricotmill.testhelpers.peers.InProcessNetwork;
import dev.apricotmill.testhelpers.service.FakePlainService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A complete deployment in virtual time: 3 zones with 2 daemons and 2 engines each, a plain service
 * with a replica in each zone, and the platform.
 */
public final class Deployment {

  /** The zones, in order. */
  public static final ImmutableList<Zone> ZONES =
      ImmutableList.of(new Zone("zone-1"), new Zone("zone-2"), new Zone("zone-3"));

  private static final int DAEMONS_PER_ZONE = 2;
  private static final Duration SETTLING_DURATION = Duration.ofSeconds(3);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final InProcessNetwork network = new InProcessNetwork();
  private final FakePlainService service = new FakePlainService(time.newTiming());
  private final ImmutableMap<ReplicaId, FakeEngine> engines;
  private final Map<String, SimulatedDaemon> daemons = new LinkedHashMap<>();
  private final List<Machine> machines = new ArrayList<>();
  private final ConfigurationWriter configurationWriter;
  private final long seed;

  /** Creates a deployment with random choices derived from {@code seed}; no daemon runs yet. */
  public Deployment(long seed) {
    this.seed = seed;
    ImmutableMap.Builder<ReplicaId, FakeEngine> all = ImmutableMap.builder();
    for (Replica replica : SampleConfiguration.engines()) {
      all.put(
          replica.id(),
          new FakeEngine(EngineSettings.of(SampleConfiguration.PROFILE), time.newTiming()));
    }
    this.engines = all.buildOrThrow();
    VirtualScheduler operator = time.newScheduler();
    this.configurationWriter =
        new ConfigurationWriter(
            time, time.timingOf(operator), platform.clientFor("operator", ZONES.get(0), operator));
  }

  /** Starts a deployment in which every daemon uses the sample configuration. */
  public static Deployment started(long seed) {
    Deployment deployment = new Deployment(seed);
    deployment.listMachines();
    deployment.apply(SampleConfiguration.create());
    for (int index = 0; index < ZONES.size() * DAEMONS_PER_ZONE; index++) {
      deployment.startDaemon(index);
    }
    deployment.advance(SETTLING_DURATION);
    return deployment;
  }

  /** Returns the name of the daemon with that index; daemons 2n and 2n + 1 share a zone. */
  public static String daemonName(int index) {
    return "entry-" + (index + 1);
  }

  /** Starts a new incarnation of the daemon with that index. */
  public SimulatedDaemon startDaemon(int index) {
    SimulatedDaemon daemon =
        new SimulatedDaemon(this, daemonName(index), zoneOf(index), address(index), seed + index);
    daemons.put(daemon.name(), daemon);
    daemon.start();
    return daemon;
  }

  /** Returns the newest incarnation of the daemon with that index. */
  public SimulatedDaemon daemon(int index) {
    SimulatedDaemon daemon = daemons.get(daemonName(index));
    if (daemon == null) {
      throw new IllegalStateException(
          "daemon " + daemonName(index) + " was never started, have " + daemons.keySet());
    }
    return daemon;
  }

  /** Returns the newest incarnations of all daemons. */
  public ImmutableList<SimulatedDaemon> daemons() {
    return ImmutableList.copyOf(daemons.values());
  }

  /** Advances virtual time. */
  public void advance(Duration duration) {
    time.advance(duration);
  }

  /** Proposes a configuration, as an operator would, and waits for the result. */
  public ChangeResult apply(Configuration configuration) {
    return configurationWriter.apply(configuration);
  }

  /** Proposes a configuration; the future completes while virtual time is advanced. */
  public CompletableFuture<ChangeResult> propose(Configuration configuration, String author) {
    return configurationWriter.propose(configuration, author);
  }

  /** Returns the highest generation that was reported to an operator as accepted. */
  public long acceptedGeneration() {
    return configurationWriter.acceptedGeneration();
  }

  /** Returns the generation that the platform stores; the platform must be reachable. */
  public long storedGeneration() {
    return configurationWriter.storedGeneration();
  }

  /** Returns the machines that a correct machine list contains. */
  public ImmutableList<Machine> machines() {
    return ImmutableList.copyOf(machines);
  }

  /** Returns the virtual time. */
  public VirtualTime time() {
    return time;
  }

  /** Returns the platform. */
  public FakePlatform platform() {
    return platform;
  }

  /** Returns the network between daemons. */
  public InProcessNetwork network() {
    return network;
  }

  /** Returns the plain service. */
  public FakePlainService service() {
    return service;
  }

  /** Returns the engines by replica. */
  public ImmutableMap<ReplicaId, FakeEngine> engines() {
    return engines;
  }

  /** Partitions a zone from the other zones, in both directions. */
  public void cutZone(Zone zone) {
    forEachPairAcross(zone, network::cutBoth);
  }

  /** Ends the partition of a zone. */
  public void healZone(Zone zone) {
    forEachPairAcross(zone, network::heal);
  }

  /** Changes the state of a machine in the platform's list. */
  public void setListedState(String machine, Machine.State state) {
    machines.replaceAll(
        listed ->
            listed.name().equals(machine)
                ? new Machine(listed.name(), listed.role(), listed.zone(), listed.address(), state)
                : listed);
    platform.setMachines(ImmutableList.copyOf(machines));
  }

  /** Drops messages from a zone to the other zones; the other direction still works. */
  public void cutZoneOneWay(Zone zone) {
    forEachPairAcross(zone, network::cut);
  }

  private interface PairAction {
    void apply(PeerAddress one, PeerAddress other);
  }

  private void forEachPairAcross(Zone zone, PairAction action) {
    for (SimulatedDaemon inside : daemons.values()) {
      for (SimulatedDaemon outside : daemons.values()) {
        if (inside.zone().equals(zone) && !outside.zone().equals(zone)) {
          action.apply(inside.address(), outside.address());
        }
      }
    }
  }

  private void listMachines() {
    for (int index = 0; index < ZONES.size() * DAEMONS_PER_ZONE; index++) {
      machines.add(
          new Machine(
              daemonName(index),
              Machine.Role.ENTRY,
              zoneOf(index),
              address(index).toString(),
              Machine.State.LIVE));
    }
    for (Replica replica : SampleConfiguration.replicas()) {
      machines.add(
          new Machine(
              replica.machine(),
              Machine.Role.BACKEND,
              replica.zone(),
              replica.address().toString(),
              Machine.State.LIVE));
    }
    platform.setMachines(ImmutableList.copyOf(machines));
  }

  private static Zone zoneOf(int index) {
    return ZONES.get(index / DAEMONS_PER_ZONE);
  }

  private static PeerAddress address(int index) {
    return new PeerAddress("10.0.0." + (index + 1), 7000);
  }
}
