package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
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
import org.jspecify.annotations.Nullable;

/**
 * Places requests at the one node that dispatches a pool, or by this node's own ledger while that
 * node does not answer.
 *
 * <p>Answers the load pattern in which each of many nodes sees a small part of a pool's work: one
 * ledger for each pool knows all of it. Nodes may disagree on who dispatches; then two ledgers
 * place work on the same engines, which is a worse choice and breaks no promise. Runs on the
 * relay's executor.
 */
public final class SharedPlacements implements Placements {

  /** A dispatcher in another zone answers within a few milliseconds when it is not overloaded. */
  private static final Duration ASK_TIMEOUT = Duration.ofMillis(80);

  /** Reports that come within this time travel in one message. */
  private static final Duration REPORT_DELAY = Duration.ofMillis(8);

  /** The dispatcher of a pool and those that follow when it and its successor are lost. */
  private static final int CONNECTED_AHEAD = 3;

  private static final int NODES_THAT_STAND_FOR_A_ZONE = 2;
  private static final Duration FIRST_SUSPICION = Duration.ofMillis(500);

  /** How often a silent node is probed; bounds how late the end of a cut is noticed. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(500);

  /** A round trip between zones and the turn of a busy process. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

  private static final Duration LONGEST_SUSPICION = Duration.ofSeconds(8);

  private final Timing timing;
  private final LocalPlacements local;
  private final PlacementPeers peers;
  private final Member self;
  private final EventLog log;
  private final Map<RequestId, WorkReport.Running> running = new LinkedHashMap<>();
  private final Map<Member, Suspicion> suspicions = new HashMap<>();
  private final Map<ServiceName, Member> dispatchers = new HashMap<>();
  private final Map<ServiceName, List<WorkReport>> pending = new HashMap<>();
  private final Map<ServiceName, ImmutableList<Member>> rankings = new HashMap<>();
  private ImmutableList<Member> members = ImmutableList.of();
  private final Set<Member> connected = new HashSet<>();
  private boolean flushing;

  /** Creates placements of a node that knows no other. */
  public SharedPlacements(
      Timing timing, LocalPlacements local, PlacementPeers peers, Member self, EventLog log) {
    this.timing = timing;
    this.local = local;
    this.peers = peers;
    this.self = self;
    this.log = log;
  }

  /**
   * Why a dispatcher is not asked.
   *
   * @param untilNanos when it may be asked again
   * @param length how long this suspicion is; the next one is twice as long
   * @param silent whether it has answered no probe since
   */
  private record Suspicion(long untilNanos, Duration length, boolean silent) {

    boolean holds(long nowNanos) {
      return silent || untilNanos - nowNanos > 0;
    }

    Suspicion answered() {
      return new Suspicion(untilNanos, length, false);
    }
  }

  /** Takes over the nodes that may dispatch. */
  public void updateMembers(ImmutableList<Member> newMembers) {
    members = newMembers;
    rankings.clear();
    suspicions.keySet().retainAll(newMembers);
    connected.retainAll(newMembers);
    connectAhead();
  }

  /**
   * Connects to the nodes that may dispatch a pool next, so that no request waits for it. Called
   * when nodes or pools have changed.
   */
  public void connectAhead() {
    local.pools().stream()
        .flatMap(pool -> ranking(pool).stream().limit(CONNECTED_AHEAD))
        .filter(member -> !member.equals(self))
        .filter(connected::add)
        .forEach(member -> peers.report(member.address(), ImmutableList.of()));
  }

  @Override
  public void place(PlacementRequest ask, Consumer<Placement> then) {
    Member dispatcher = dispatcher(ask.service());
    if (dispatcher.equals(self)) {
      local.place(ask, placement -> placed(ask, placement, then));
      return;
    }
    peers.ask(
        dispatcher.address(),
        ask,
        ASK_TIMEOUT,
        answer -> timing.scheduler().execute(() -> answered(dispatcher, ask, answer, then)));
  }

  private void answered(
      Member dispatcher,
      PlacementRequest ask,
      Optional<Placement> answer,
      Consumer<Placement> then) {
    if (answer.isPresent()) {
      suspicions.remove(dispatcher);
      if (answer.get() instanceof Placement.Granted granted) {
        local.note(new WorkReport.Running(ask, granted, true));
      }
      placed(ask, answer.get(), then);
      return;
    }
    suspect(dispatcher);
    local.place(
        ask,
        placement -> {
          if (placement instanceof Placement.Granted granted) {
            report(new WorkReport.Running(ask, granted, true));
          }
          placed(ask, placement, then);
        });
  }

  private void placed(PlacementRequest ask, Placement placement, Consumer<Placement> then) {
    if (placement instanceof Placement.Granted granted) {
      running.put(ask.requestId(), new WorkReport.Running(ask, granted, true));
    }
    then.accept(placement);
  }

  @Override
  public void firstEvent(ServiceName service, RequestId request) {
    running.computeIfPresent(
        request, (id, work) -> new WorkReport.Running(work.request(), work.placement(), false));
    reportEverywhere(new WorkReport.FirstEvent(service, request));
  }

  @Override
  public void ended(ServiceName service, RequestId request) {
    running.remove(request);
    reportEverywhere(new WorkReport.Ended(service, request));
  }

  @Override
  public void failed(ServiceName service, ReplicaId server, boolean unreachable) {
    reportEverywhere(new WorkReport.Failed(service, server, unreachable));
  }

  private void reportEverywhere(WorkReport report) {
    local.note(report);
    report(report);
  }

  private void report(WorkReport report) {
    if (dispatcher(report.service()).equals(self)) {
      return;
    }
    pending.computeIfAbsent(report.service(), service -> new ArrayList<>()).add(report);
    if (!flushing) {
      flushing = true;
      timing.schedule(REPORT_DELAY, this::flush);
    }
  }

  private void flush() {
    flushing = false;
    pending.forEach(
        (service, reports) -> {
          Member dispatcher = dispatcher(service);
          if (!dispatcher.equals(self)) {
            peers.report(dispatcher.address(), ImmutableList.copyOf(reports));
          }
        });
    pending.clear();
  }

  /** Returns who dispatches a pool; one that takes over hears of the work that runs there. */
  private Member dispatcher(ServiceName service) {
    long now = timing.nanoTime();
    Member dispatcher =
        ranking(service).stream()
            .filter(member -> !isSuspected(member, now))
            .findFirst()
            .orElse(self);
    @Nullable Member before = dispatchers.put(service, dispatcher);
    if (before != null && !before.equals(dispatcher)) {
      handOver(service, before, dispatcher);
    }
    return dispatcher;
  }

  /** Returns the nodes in the order in which they would dispatch a pool. */
  private ImmutableList<Member> ranking(ServiceName service) {
    return rankings.computeIfAbsent(
        service,
        name ->
            RendezvousHash.ranked(members, name.value()).collect(ImmutableList.toImmutableList()));
  }

  private void handOver(ServiceName service, Member before, Member dispatcher) {
    ImmutableList<WorkReport> work =
        running.values().stream()
            .filter(entry -> entry.service().equals(service))
            .collect(ImmutableList.toImmutableList());
    log.write(
        "dispatcher.changed",
        ImmutableMap.of(
            "service", service.value(),
            "before", before.incarnation().toString(),
            "now", dispatcher.incarnation().toString(),
            "running", work.size()));
    if (!dispatcher.equals(self) && !work.isEmpty()) {
      peers.report(dispatcher.address(), work);
    }
  }

  private boolean isSuspected(Member member, long nowNanos) {
    Suspicion suspicion = suspicions.get(member);
    return (suspicion != null && suspicion.holds(nowNanos)) || isCutOff(member.zone(), nowNanos);
  }

  /** Nodes of another zone that are silent together stand for their whole zone. */
  private boolean isCutOff(Zone zone, long nowNanos) {
    return !zone.equals(self.zone())
        && suspicions.entrySet().stream()
                .filter(entry -> entry.getKey().zone().equals(zone))
                .filter(entry -> entry.getValue().holds(nowNanos))
                .count()
            >= NODES_THAT_STAND_FOR_A_ZONE;
  }

  private void suspect(Member member) {
    Suspicion before = suspicions.get(member);
    if (before != null && before.holds(timing.nanoTime())) {
      // Several questions that were open at once say no more than one.
      return;
    }
    Duration length = before == null ? FIRST_SUSPICION : before.length().multipliedBy(2);
    if (length.compareTo(LONGEST_SUSPICION) > 0) {
      length = LONGEST_SUSPICION;
    }
    suspicions.put(member, new Suspicion(timing.nanoTime() + length.toNanos(), length, true));
    timing.schedule(PROBE_PERIOD, () -> probe(member));
    log.write(
        "dispatcher.silent",
        ImmutableMap.of(
            "node", member.incarnation().toString(), "not_asked_for_ms", length.toMillis()));
  }

  /** Finds out by probes, never by a request, when a silent node answers again. */
  private void probe(Member member) {
    Suspicion suspicion = suspicions.get(member);
    if (suspicion == null || !suspicion.silent()) {
      return;
    }
    peers.probe(
        member.address(),
        PROBE_TIMEOUT,
        alive -> timing.scheduler().execute(() -> probed(member, alive)));
    timing.schedule(PROBE_PERIOD, () -> probe(member));
  }

  private void probed(Member member, boolean alive) {
    if (alive && suspicions.containsKey(member)) {
      suspicions.computeIfPresent(member, (peer, before) -> before.answered());
      log.write("dispatcher.answers", ImmutableMap.of("node", member.incarnation().toString()));
    }
  }
}
