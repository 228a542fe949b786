package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Places requests through the one node that dispatches a pool, or by this node's own scheduler
 * while that node does not respond.
 *
 * <p>Each of many nodes sees only a small part of a pool's load; the scheduler of the dispatcher
 * knows all of it. Nodes may disagree on which node dispatches. Two schedulers then place requests
 * on the same engines, which makes placements worse but violates no guarantee. Runs on the relay's
 * executor.
 */
public final class DispatcherPlacer implements RequestPlacer {

  /** A dispatcher in another zone responds within a few milliseconds unless it is overloaded. */
  private static final Duration PLACEMENT_TIMEOUT = Duration.ofMillis(80);

  /** Reports within this time are sent in one message. */
  private static final Duration REPORT_DELAY = Duration.ofMillis(8);

  /** The dispatcher of a pool, its successor, and the next one if both are lost. */
  private static final int PRECONNECTED_NODES_PER_POOL = 3;

  /** The parts of prompts that a new dispatcher must not blame for crashes by mistake. */
  private static final int MAX_REPORTED_PARTS = 64;

  /** All nodes have the same list of nodes within this time after a change. */
  private static final Duration HANDOVER_TIME = Duration.ofSeconds(4);

  private final Timing timing;
  private final LocalPlacer localPlacer;
  private final DispatcherClient client;
  private final Member self;
  private final BlockedParts blockedParts;
  private final LeavingServers leavingServers;
  private final BackendLimits limits;
  private final CrashWatch crashWatch;
  private final EventLog log;
  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<RequestId, WorkReport.Running> running = new LinkedHashMap<>();
  private final SuspectedNodes suspects;
  private final Map<ServiceName, Member> dispatchers = new HashMap<>();
  private final Map<ServiceName, Long> dispatchesSinceNanos = new HashMap<>();
  private final Map<ServiceName, List<WorkReport>> pendingReports = new HashMap<>();
  private final Map<ServiceName, ImmutableList<Member>> rankings = new HashMap<>();
  private ImmutableList<Member> members = ImmutableList.of();
  private final Set<Member> preconnected = new HashSet<>();
  private boolean flushScheduled;

  /** Creates the placer of a node that knows no other nodes. */
  public DispatcherPlacer(
      Timing timing,
      LocalPlacer localPlacer,
      DispatcherClient client,
      Member self,
      SharedKnowledge knowledge,
      CrashWatch crashWatch,
      EventLog log) {
    this.timing = timing;
    this.localPlacer = localPlacer;
    this.client = client;
    this.self = self;
    suspects = new SuspectedNodes(timing, client, self, log);
    blockedParts = knowledge.blockedParts();
    leavingServers = knowledge.leavingServers();
    this.crashWatch = crashWatch;
    this.log = log;
    leavingServers.addListener(this::onLeaving);
    limits = knowledge.limits();
    limits.setListener(this::report);
    localPlacer.setGrantShare(this::grantShare);
  }

  /** Updates the nodes that may dispatch. */
  public void updateMembers(ImmutableList<Member> newMembers) {
    members = newMembers;
    limits.ramps().updateMembers(newMembers, self);
    rankings.clear();
    suspects.retainAll(newMembers);
    preconnected.retainAll(newMembers);
    preconnect();
  }

  /**
   * Connects to the nodes that may dispatch a pool next, so that no request waits for a connection.
   * Called when nodes or pools have changed.
   */
  public void preconnect() {
    localPlacer.pools().stream()
        .flatMap(pool -> ranking(pool).stream().limit(PRECONNECTED_NODES_PER_POOL))
        .filter(member -> !member.equals(self))
        .filter(preconnected::add)
        .forEach(member -> client.report(member.address(), ImmutableList.of()));
  }

  @Override
  public void place(PlacementRequest placementRequest, Consumer<Placement> callback) {
    Member dispatcher = dispatcher(placementRequest.service());
    if (dispatcher.equals(self)) {
      localPlacer.place(
          placementRequest, placement -> onPlaced(placementRequest, placement, callback));
      return;
    }
    client.requestPlacement(
        dispatcher.address(),
        placementRequest,
        PLACEMENT_TIMEOUT,
        reply ->
            timing
                .scheduler()
                .execute(() -> onDispatcherReply(dispatcher, placementRequest, reply, callback)));
  }

  private void onDispatcherReply(
      Member dispatcher,
      PlacementRequest placementRequest,
      Optional<Placement> reply,
      Consumer<Placement> callback) {
    if (reply.isPresent()) {
      suspects.remove(dispatcher);
      if (reply.get() instanceof Placement.Granted granted) {
        localPlacer.recordReport(new WorkReport.Running(placementRequest, granted, true));
        reportLeavingServers(dispatcher, granted);
        compareLimits(dispatcher, granted);
      } else if (reply.get() instanceof Placement.Blocked blocked) {
        blockedParts.block(blocked.part(), BlockedParts.Source.DISPATCHER);
      }
      onPlaced(placementRequest, reply.get(), callback);
      return;
    }
    suspects.add(dispatcher);
    localPlacer.placeWithoutDispatcher(
        placementRequest,
        placement -> {
          if (placement instanceof Placement.Granted granted) {
            report(new WorkReport.Running(placementRequest, granted, true));
          }
          onPlaced(placementRequest, placement, callback);
        });
  }

  private void onPlaced(
      PlacementRequest placementRequest, Placement placement, Consumer<Placement> callback) {
    if (placement instanceof Placement.Granted granted) {
      running.put(
          placementRequest.requestId(), new WorkReport.Running(placementRequest, granted, true));
    }
    callback.accept(placement);
  }

  @Override
  public void firstEvent(ServiceName service, RequestId request) {
    running.computeIfPresent(
        request, (id, work) -> new WorkReport.Running(work.request(), work.placement(), false));
    recordAndReport(new WorkReport.FirstEvent(service, request));
  }

  @Override
  public void ended(ServiceName service, RequestId request, boolean completed) {
    running.remove(request);
    recordAndReport(new WorkReport.Ended(service, request, completed));
  }

  @Override
  public void failed(ServiceName service, ReplicaId server, boolean unreachable) {
    recordAndReport(new WorkReport.Failed(service, server, unreachable));
  }

  @Override
  public void brokenOff(ServiceName service, ReplicaId server, PromptParts promptParts) {
    evidence.add(service, server, promptParts, timing.nanoTime());
    recordAndReport(new WorkReport.BrokenOff(service, server, promptParts, Duration.ZERO));
    if (dispatcher(service).equals(self)) {
      crashWatch.onEvidence(service);
    }
  }

  /** Reports at once, since each placement there until then must be made again. */
  private void onLeaving(LeavingServers.Instance instance, LeavingServers.Source source) {
    if (source == LeavingServers.Source.PEER
        || localPlacer.poolScheduler(instance.service()).isEmpty()) {
      return;
    }
    Member dispatcher = dispatcher(instance.service());
    if (!dispatcher.equals(self)) {
      client.report(dispatcher.address(), ImmutableList.of(instance.toReport()));
    }
  }

  /** Reports the leaving servers of a placement again; the dispatcher does not know of them. */
  private void reportLeavingServers(Member dispatcher, Placement.Granted granted) {
    if (leavingServers.isEmpty()) {
      return;
    }
    ImmutableList<WorkReport> reports =
        Stream.concat(Stream.of(granted.server()), granted.helpers().stream())
            .flatMap(server -> leavingServers.find(server).stream())
            .map(LeavingServers.Instance::toReport)
            .collect(ImmutableList.toImmutableList());
    if (!reports.isEmpty()) {
      client.report(dispatcher.address(), reports);
    }
  }

  /** Tells a dispatcher of a limit that it has not heard of, or learns of one from it. */
  private void compareLimits(Member dispatcher, Placement.Granted granted) {
    localPlacer
        .server(granted.server())
        .flatMap(server -> limits.onGranted(server, granted.requestsPerSecond()))
        .ifPresent(report -> client.report(dispatcher.address(), ImmutableList.of(report)));
  }

  /**
   * Returns the share of servers' limits that this node may grant from. A new dispatcher begins
   * with a part, since nodes that do not know of it yet still ask the one before it; and a node
   * that does not reach all others leaves them their part.
   */
  private double grantShare(ServiceName service) {
    long now = timing.nanoTime();
    if (members.isEmpty() || !dispatcher(service).equals(self)) {
      return GrantShare.BESIDE_ANOTHER;
    }
    long reached = members.stream().filter(member -> !suspects.contains(member, now)).count();
    double share = GrantShare.WHOLE * Math.max(1, reached) / members.size();
    boolean isNew =
        members.size() > 1
            && now - dispatchesSinceNanos.getOrDefault(service, now) < HANDOVER_TIME.toNanos();
    return isNew ? share * GrantShare.BESIDE_ANOTHER : share;
  }

  private void recordAndReport(WorkReport report) {
    localPlacer.recordReport(report);
    report(report);
  }

  private void report(WorkReport report) {
    if (dispatcher(report.service()).equals(self)) {
      return;
    }
    pendingReports.computeIfAbsent(report.service(), service -> new ArrayList<>()).add(report);
    if (!flushScheduled) {
      flushScheduled = true;
      timing.schedule(REPORT_DELAY, this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    pendingReports.forEach(
        (service, reports) -> {
          Member dispatcher = dispatcher(service);
          if (!dispatcher.equals(self)) {
            client.report(dispatcher.address(), ImmutableList.copyOf(reports));
          }
        });
    pendingReports.clear();
  }

  /**
   * Returns the dispatcher of a pool. A new one receives the requests that run in the pool, and
   * what this node knows of prompts that crash engines and of servers that are leaving.
   */
  private Member dispatcher(ServiceName service) {
    long now = timing.nanoTime();
    Member dispatcher =
        ranking(service).stream()
            .filter(member -> !suspects.contains(member, now))
            .findFirst()
            .orElse(self);
    @Nullable Member previous = dispatchers.put(service, dispatcher);
    if (dispatcher.equals(self) && !dispatcher.equals(previous)) {
      dispatchesSinceNanos.put(service, now);
    }
    if (previous != null && !previous.equals(dispatcher)) {
      onDispatcherChanged(service, previous, dispatcher);
    }
    return dispatcher;
  }

  /**
   * Returns the nodes in the order in which they take over as the dispatcher of a pool. Those of
   * the largest VMs go first: a dispatcher handles all requests of its pool, and on the smallest
   * VMs of an uneven fleet it falls silent at 200 requests a second.
   */
  private ImmutableList<Member> ranking(ServiceName service) {
    return rankings.computeIfAbsent(
        service,
        name ->
            RendezvousHash.rankedByCapacity(members, name.value())
                .collect(ImmutableList.toImmutableList()));
  }

  private void onDispatcherChanged(ServiceName service, Member previous, Member dispatcher) {
    ImmutableList<WorkReport> work =
        running.values().stream()
            .filter(entry -> entry.service().equals(service))
            .collect(ImmutableList.toImmutableList());
    log.write(
        "dispatcher.changed",
        ImmutableMap.of(
            "service", service.value(),
            "before", previous.incarnation().toString(),
            "now", dispatcher.incarnation().toString(),
            "running", work.size()));
    if (dispatcher.equals(self)) {
      crashWatch.onEvidence(service);
      return;
    }
    ImmutableList<WorkReport> reports =
        ImmutableList.<WorkReport>builder()
            .addAll(work)
            .addAll(localPlacer.mostWrittenParts(service, MAX_REPORTED_PARTS))
            .addAll(evidence.reports(service, timing.nanoTime()))
            .addAll(
                blockedParts.parts().stream()
                    .map(part -> new WorkReport.PartBlocked(service, part))
                    .iterator())
            .addAll(
                leavingServers.instancesOf(service).stream()
                    .map(LeavingServers.Instance::toReport)
                    .iterator())
            .addAll(
                localPlacer.serversOf(service).stream()
                    .flatMap(server -> limits.report(server).stream())
                    .iterator())
            .build();
    if (!reports.isEmpty()) {
      client.report(dispatcher.address(), reports);
    }
  }
}
