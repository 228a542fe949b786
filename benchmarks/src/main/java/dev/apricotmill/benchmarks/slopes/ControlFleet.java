package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.configuration.ConfigurationChange;
import dev.apricotmill.coordination.configuration.ConfigurationStore;
import dev.apricotmill.coordination.configuration.PartContent;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationCodec;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.node.NodeDependencies;
import dev.apricotmill.node.NodeSettings;
import dev.apricotmill.node.ServingNode;
import dev.apricotmill.testhelpers.engine.EngineSettings;
import dev.apricotmill.testhelpers.engine.FakeEngine;
import dev.apricotmill.testhelpers.engine.FakeEngines;
import dev.apricotmill.testhelpers.peers.InProcessNetwork;
import dev.apricotmill.testhelpers.peers.InProcessPeers;
import dev.apricotmill.testhelpers.service.FakePlainService;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.opentelemetry.api.trace.TracerProvider;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Many real nodes in one process on one virtual timeline, without requests. */
final class ControlFleet {

  private static final int OPEN_REQUESTS = 100;
  private static final Duration TIME_LIMIT = Duration.ofSeconds(30);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final InProcessNetwork network = new InProcessNetwork();
  private final FakePlainService service = new FakePlainService(time.newTiming());
  private final List<ServingNode> nodes = new ArrayList<>();
  private final List<CountingProbes> probes = new ArrayList<>();
  private final ConfigurationStore store;
  private final ImmutableMap<ReplicaId, FakeEngine> engines;
  private long generation;

  ControlFleet(int daemons, Configuration configuration) {
    VirtualScheduler operator = time.newScheduler();
    store =
        new ConfigurationStore(
            time.timingOf(operator),
            platform.clientFor("operator", FleetConfiguration.zone(0), operator),
            WriterSettings.defaults(),
            new SplittableRandom(1));
    engines = engines(configuration);
    platform.setMachines(machines(daemons));
    accept(configuration);
    for (int index = 0; index < daemons; index++) {
      startNode(index);
    }
  }

  VirtualTime time() {
    return time;
  }

  FakePlatform platform() {
    return platform;
  }

  List<CountingProbes> probes() {
    return probes;
  }

  /** Accepts a configuration and returns its generation. */
  long accept(Configuration configuration) {
    ImmutableMap.Builder<String, PartContent> parts = ImmutableMap.builder();
    ConfigurationCodec.encode(configuration)
        .forEach((name, bytes) -> parts.put(name, PartContent.copyOf(bytes)));
    store.propose(
        new ConfigurationChange(
            generation, parts.buildOrThrow(), "operator", "change-" + generation));
    time.advance(Duration.ofMillis(20));
    generation++;
    return generation;
  }

  /** Returns how many nodes have the generation in force. */
  long inForce(long wanted) {
    return nodes.stream().filter(node -> node.status().configurationGeneration() >= wanted).count();
  }

  private void startNode(int index) {
    VirtualScheduler scheduler = time.newScheduler();
    Timing timing = time.timingOf(scheduler);
    Zone zone = FleetConfiguration.zone(index);
    InProcessPeers peers = network.join(address(index), timing);
    CountingProbes counting = new CountingProbes(peers);
    ServingNode node =
        new ServingNode(
            new NodeSettings(
                new DaemonId(name(index)),
                zone,
                address(index),
                OPEN_REQUESTS,
                TIME_LIMIT,
                TIME_LIMIT),
            new NodeDependencies(
                timing,
                platform.clientFor(name(index), zone, scheduler),
                counting,
                peers,
                peers,
                new FakeEngines(engines, timing),
                service.portFor(timing),
                new SplittableRandom(index),
                new SimpleMeterRegistry(),
                TracerProvider.noop().get("slopes")));
    peers.serve(node, node);
    peers.serveLedger(node);
    nodes.add(node);
    probes.add(counting);
    scheduler.execute(node::start);
  }

  private ImmutableMap<ReplicaId, FakeEngine> engines(Configuration configuration) {
    ImmutableMap.Builder<ReplicaId, FakeEngine> all = ImmutableMap.builder();
    for (Service pool : configuration.services().values()) {
      for (Replica replica : pool.replicas()) {
        EngineSettings settings = EngineSettings.of(((Service.ModelPool) pool).profile());
        all.put(replica.id(), new FakeEngine(settings, time.newTiming()));
      }
    }
    return all.buildOrThrow();
  }

  private static ImmutableList<Machine> machines(int daemons) {
    ImmutableList.Builder<Machine> machines = ImmutableList.builder();
    for (int index = 0; index < daemons; index++) {
      machines.add(
          new Machine(
              name(index),
              Machine.Role.ENTRY,
              FleetConfiguration.zone(index),
              address(index).toString(),
              Machine.State.LIVE));
    }
    return machines.build();
  }

  private static String name(int index) {
    return "entry-" + index;
  }

  private static PeerAddress address(int index) {
    return new PeerAddress("10.0." + index / 250 + "." + index % 250, 7000);
  }
}
