package dev.apricotmill.node.testing;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.node.Node;
import dev.apricotmill.node.NodeDependencies;
import dev.apricotmill.node.NodeSettings;
import dev.apricotmill.node.ServingNode;
import dev.apricotmill.testhelpers.engine.FakeEngines;
import dev.apricotmill.testhelpers.peers.InProcessPeers;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.opentelemetry.api.trace.TracerProvider;
import java.time.Duration;
import java.util.SplittableRandom;

/** One incarnation of a daemon in a {@link Deployment}; it can be paused, resumed and killed. */
public final class SimulatedDaemon {

  private static final int MAXIMUM_OPEN_REQUESTS = 1_000;
  private static final Duration DEFAULT_TIME_LIMIT = Duration.ofSeconds(30);
  private static final Duration MAXIMUM_TIME_LIMIT = Duration.ofMinutes(10);

  private final Deployment deployment;
  private final String name;
  private final Zone zone;
  private final PeerAddress address;
  private final VirtualScheduler scheduler;
  private final ServingNode node;
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private boolean alive = true;

  SimulatedDaemon(Deployment deployment, String name, Zone zone, PeerAddress address, long seed) {
    this.deployment = deployment;
    this.name = name;
    this.zone = zone;
    this.address = address;
    this.scheduler = deployment.time().newScheduler();
    Timing timing = deployment.time().timingOf(scheduler);
    InProcessPeers peers = deployment.network().join(address, timing);
    this.node =
        new ServingNode(
            new NodeSettings(
                new DaemonId(name),
                zone,
                address,
                MAXIMUM_OPEN_REQUESTS,
                DEFAULT_TIME_LIMIT,
                MAXIMUM_TIME_LIMIT),
            new NodeDependencies(
                timing,
                deployment.platform().clientFor(name, zone, scheduler),
                peers,
                peers,
                peers,
                new FakeEngines(deployment.engines(), timing),
                deployment.service().portFor(timing),
                new SplittableRandom(seed),
                meters,
                TracerProvider.noop().get("test")));
    peers.serve(node, node);
    peers.serveLedger(node);
  }

  void start() {
    scheduler.execute(node::start);
  }

  /** Returns the daemon's name. */
  public String name() {
    return name;
  }

  /** Returns its zone. */
  public Zone zone() {
    return zone;
  }

  /** Returns the address at which peers reach it. */
  public PeerAddress address() {
    return address;
  }

  /** Returns the node. */
  public Node node() {
    return node;
  }

  /** Returns whether the process exists, paused or not. */
  public boolean isAlive() {
    return alive;
  }

  /** Runs a task in the process, like the handler of an incoming request. */
  public void run(Runnable task) {
    scheduler.execute(task);
  }

  /** Kills the process without notice. */
  public void kill() {
    alive = false;
    scheduler.shutdown();
    deployment.network().kill(address);
  }

  /** Pauses the process: nothing runs or responds, but its connections stay open. */
  public void pause() {
    scheduler.pause();
  }

  /** Resumes the paused process. */
  public void resume() {
    scheduler.resume();
  }
}
