package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A node in virtual time with a list of servers, whose placements and reservations can be held back
 * while servers change.
 */
final class ServingFixture {

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final BackendLimits backendLimits = new BackendLimits(timing, EventLog.NONE);
  private final LocalPlacer localPlacer = new LocalPlacer(timing, backendLimits);
  private final BlockedParts blockedParts = new BlockedParts(timing, EventLog.NONE);
  private final LeavingServers leavingServers = new LeavingServers(timing, EventLog.NONE);
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final List<PlacementRequest> placementRequests = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();
  private final List<ReplicaId> reserved = new ArrayList<>();
  private final List<ReplicaId> released = new ArrayList<>();
  private final List<Runnable> held = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final EvacuatedZones evacuatedZones;
  private final RelayNode node;
  private final ServingState state;
  private final PlacementEndpoint endpoint;
  private Optional<ReplicaId> refusing = Optional.empty();
  private boolean holding;
  private int requests;

  ServingFixture() {
    this(/* evacuationsFollowed= */ false);
  }

  /** Creates a node; if it follows evacuations, it has not read any yet. */
  ServingFixture(boolean evacuationsFollowed) {
    EventLog evacuationLog = (event, fields) -> log.add(event + " " + fields);
    evacuatedZones =
        evacuationsFollowed
            ? EvacuatedZones.followed(timing, evacuationLog)
            : EvacuatedZones.notFollowed(timing);
    node =
        new RelayNode(
            timing,
            new SplittableRandom(1),
            new RelaySettings(
                Duration.ofHours(1),
                RelayFixture.CONFIGURATION_BOUND,
                Duration.ofSeconds(10),
                0,
                100,
                16 << 20),
            new HeldBackends(),
            new HeldPlacer(),
            blockedParts,
            backendLimits,
            EventLog.NONE,
            meters);
    state =
        new ServingState(node, leavingServers, evacuatedZones, evacuationLog, localPlacer::update);
    endpoint =
        new PlacementEndpoint(
            timing,
            localPlacer,
            new SharedKnowledge(blockedParts, leavingServers, backendLimits),
            new CrashWatch(timing, localPlacer, blockedParts),
            () -> false);
    state.configurationRead(configuration());
    state.configurationValidated(new ReadTimestamp(timing.nanoTime(), timing.clock().millis()));
  }

  /** The pool prefills slowly, so that prompts are worth splitting. */
  static ServingConfiguration configuration() {
    ServingConfiguration base = RelayFixture.configuration(1);
    return new ServingConfiguration(
        base.version(),
        base.routes(),
        ImmutableMap.of(
            RelayFixture.POOL,
            new ServiceProfile(
                RelayFixture.POOL,
                100,
                Optional.of(
                    new EngineCostModel(4, 450_000, 1, 0.01, 0.003, 4_000, 0.0001, 46, 13_000))),
            RelayFixture.DESK,
            new ServiceProfile(RelayFixture.DESK, 100, Optional.empty())),
        base.customers(),
        base.keysRequired(),
        base.limits());
  }

  /** An attempt at a server. */
  record Sent(BackendClient.BackendRequest request, BackendClient.ResponseListener listener) {

    ReplicaId server() {
      return request.server().id();
    }
  }

  /** Records the requests; reservations can be held back, or be refused by one server. */
  private final class HeldBackends implements BackendClient {

    @Override
    public Exchange send(BackendRequest request, ResponseListener listener) {
      sent.add(new Sent(request, listener));
      return new Exchange() {
        @Override
        public void cancel() {}

        @Override
        public void pauseReading() {}

        @Override
        public void resumeReading() {}
      };
    }

    @Override
    public void reserve(
        BackendServer server,
        String reservation,
        long tokens,
        Duration duration,
        Consumer<ReserveResult> callback) {
      reserved.add(server.id());
      ReserveResult result =
          refusing.equals(Optional.of(server.id()))
              ? ReserveResult.REFUSED
              : ReserveResult.RESERVED;
      runOrHold(() -> callback.accept(result));
    }

    @Override
    public void release(BackendServer server, String reservation) {
      released.add(server.id());
    }
  }

  /** Places by the state of this node; placements can be held back. */
  private final class HeldPlacer implements RequestPlacer {

    @Override
    public void place(PlacementRequest placementRequest, Consumer<Placement> callback) {
      placementRequests.add(placementRequest);
      localPlacer.place(placementRequest, placement -> runOrHold(() -> callback.accept(placement)));
    }

    @Override
    public void firstEvent(ServiceName service, RequestId request) {
      localPlacer.firstEvent(service, request);
    }

    @Override
    public void ended(ServiceName service, RequestId request, boolean completed) {
      localPlacer.ended(service, request, completed);
    }

    @Override
    public void failed(ServiceName service, ReplicaId server, boolean unreachable) {
      localPlacer.failed(service, server, unreachable);
    }

    @Override
    public void brokenOff(ServiceName service, ReplicaId server, PromptParts promptParts) {
      localPlacer.brokenOff(service, server, promptParts);
    }
  }

  private void runOrHold(Runnable task) {
    if (holding) {
      held.add(task);
    } else {
      task.run();
    }
  }

  /** Holds back placements and the results of reservations from now on. */
  void hold() {
    holding = true;
  }

  /** Continues with what is held back, and holds back what follows from it. */
  void releaseHeldStep() {
    ImmutableList<Runnable> tasks = ImmutableList.copyOf(held);
    held.clear();
    tasks.forEach(timing.scheduler()::execute);
    time.runDue();
  }

  /** Continues with what is held back, and holds back nothing more. */
  void releaseHeld() {
    holding = false;
    releaseHeldStep();
  }

  /** Applies a list of servers, all of which it names as ready. */
  void list(BackendServer... servers) {
    state.serversRead(Maps.uniqueIndex(ImmutableList.copyOf(servers), BackendServer::id));
  }

  /** Lets the store hold the evacuations of these zones and no others. */
  void evacuate(String... zones) {
    evacuatedZones.update(
        ImmutableList.copyOf(zones).stream().map(Zone::new).collect(Collectors.toSet()));
    time.runDue();
  }

  /** Returns the lines about evacuations so far. */
  List<String> evacuationLog() {
    return log.stream().filter(line -> line.startsWith("evacuation.")).toList();
  }

  RelayNode node() {
    return node;
  }

  /** Reports that a server has said in a response that it is leaving. */
  void leave(BackendServer server) {
    leavingServers.onNotice(server, new ServerNotice(true, Optional.empty()));
    time.runDue();
  }

  /** Lets a server refuse reservations from now on. */
  void refuseReservationsAt(BackendServer server) {
    refusing = Optional.of(server.id());
  }

  RelayFixture.RecordedCaller accept(String path, long promptTokens) {
    RelayFixture.RecordedCaller caller = new RelayFixture.RecordedCaller();
    node.accept(
        new RelayRequest(
            new RequestId("r" + requests++),
            "host",
            "POST",
            path,
            ImmutableMap.of(),
            new byte[0],
            Optional.of("key"),
            Optional.of(Duration.ofSeconds(5)),
            Optional.of(new GenerationSize(promptTokens, 100)),
            PromptParts.NONE,
            OptionalLong.empty()),
        caller);
    time.runDue();
    return caller;
  }

  /** Lets a server respond to an attempt with a part of its response. */
  void respond(Sent attempt, String body) {
    attempt
        .listener()
        .onHead(new BackendClient.Head(200, ImmutableMap.of(), false, Optional.empty()));
    attempt.listener().onBody(body.getBytes(StandardCharsets.UTF_8));
    time.runDue();
  }

  /** Lets a server end its response. */
  void end(Sent attempt) {
    attempt.listener().onEnd();
    time.runDue();
  }

  static BackendServer server(ServiceName service, int number, long startedMillis) {
    return server(service, number, "a", startedMillis);
  }

  static BackendServer server(ServiceName service, int number, String zone, long startedMillis) {
    return new BackendServer(
        new ReplicaId(service.value() + number),
        service,
        new PeerAddress("10.0.0." + (number + 1), 80),
        new Zone(zone),
        4,
        true,
        startedMillis);
  }

  VirtualTime time() {
    return time;
  }

  PlacementEndpoint endpoint() {
    return endpoint;
  }

  List<Sent> sent() {
    return sent;
  }

  /** Returns the servers that attempts went to, in order. */
  ImmutableList<ReplicaId> servers() {
    return sent.stream().map(Sent::server).collect(ImmutableList.toImmutableList());
  }

  /** Returns the requests for engines, in order. */
  List<PlacementRequest> placementRequests() {
    return placementRequests;
  }

  /** Returns the servers at which memory was to be reserved, in order. */
  List<ReplicaId> reserved() {
    return reserved;
  }

  /** Returns the servers at which memory was released, in order. */
  List<ReplicaId> released() {
    return released;
  }

  double gauge(String name) {
    return meters.get(name).gauge().value();
  }

  double counter(String name) {
    return meters.get(name).counter().count();
  }
}
