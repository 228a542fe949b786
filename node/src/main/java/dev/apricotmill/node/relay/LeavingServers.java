package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The server instances that have said that they are leaving. They accept no new requests of this
 * node, whatever a list of servers says.
 *
 * <p>A mark lasts as long as the list names the instance, and for some time after, since the entry
 * of a live server may be absent while the store is down. Runs on the relay's executor.
 */
public final class LeavingServers implements ServerNoticeListener {

  /** An instance that the list has not named for this long has ended. */
  static final Duration ABSENCE_OF_ENDED_INSTANCE = Duration.ofMinutes(10);

  /** Limits the marks of instances that the list does not name; it bounds the others itself. */
  static final int MAX_ABSENT = 1024;

  private static final Duration ABSENCE_CHECK_PERIOD = Duration.ofMinutes(1);

  /** A server that says that it is leaving has ended by then. */
  static final Duration MAX_DEPARTURE = Duration.ofMinutes(1);

  private final Timing timing;
  private final EventLog log;
  private final Set<Instance> marked = new LinkedHashSet<>();
  private final List<LeavingListener> listeners = new ArrayList<>();

  /** The marks that responses have set, by the identifier of the server. */
  private final Map<ReplicaId, ResponseMark> responseMarks = new HashMap<>();

  /** Those marks that keep requests from a later instance for some time. */
  private final Set<ResponseMark> suspectedSuccessors = new HashSet<>();

  /** When the list first lacked a marked instance; the longest absence first. */
  private final Map<Instance, Long> absentSinceNanos = new LinkedHashMap<>();

  private ImmutableMap<ReplicaId, BackendServer> listed = ImmutableMap.of();
  private boolean absenceCheckScheduled;

  /** Creates an empty set. */
  public LeavingServers(Timing timing, EventLog log) {
    this.timing = timing;
    this.log = log;
  }

  /** How a node has learnt that a server is leaving. */
  public enum Source {
    /** From a response of the server. */
    RESPONSE,
    /** From a node that reports to this one as the dispatcher of a pool. */
    PEER
  }

  /**
   * One run of a server. A server that starts again under its identifier is another instance.
   *
   * @param service the service that it provides
   * @param server its identifier
   * @param startedMillis when it started, in milliseconds of Unix time
   */
  public record Instance(ServiceName service, ReplicaId server, long startedMillis) {

    static Instance of(BackendServer server) {
      return new Instance(server.service(), server.id(), server.startedMillis());
    }

    static Instance of(WorkReport.Leaving report) {
      return new Instance(report.service(), report.server(), report.startedMillis());
    }

    WorkReport.Leaving toReport() {
      return new WorkReport.Leaving(service, server, startedMillis);
    }
  }

  /**
   * A mark that a response has set.
   *
   * @param instance the instance that the list named when the request was sent
   * @param atMillis when the response arrived, in milliseconds of Unix time
   * @param atNanos the same on the monotonic clock
   */
  private record ResponseMark(Instance instance, long atMillis, long atNanos) {

    /** A list that is behind may name the instance before the one that has responded. */
    boolean mayMean(BackendServer server) {
      return instance.service().equals(server.service())
          && instance.startedMillis() < server.startedMillis()
          && server.startedMillis() <= atMillis;
    }

    long endNanos() {
      return atNanos + MAX_DEPARTURE.toNanos();
    }
  }

  /** Learns of changes of the marks. */
  @FunctionalInterface
  public interface LeavingListener {
    /** Called once for each instance that is marked. */
    void onLeaving(Instance instance, Source source);

    /** Called when servers of the list may accept requests again. */
    default void onAcceptingAgain() {}
  }

  /** Adds a listener. */
  public void addListener(LeavingListener listener) {
    listeners.add(listener);
  }

  @Override
  public void onNotice(BackendServer server, ServerNotice notice) {
    if (notice.leaving()) {
      timing.scheduler().execute(() -> mark(Instance.of(server), Source.RESPONSE));
    }
  }

  /** Marks an instance, unless it is marked already. */
  void mark(Instance instance, Source source) {
    if (!marked.add(instance)) {
      return;
    }
    if (source == Source.RESPONSE) {
      responseMarks.put(
          instance.server(),
          new ResponseMark(instance, timing.clock().millis(), timing.nanoTime()));
    }
    log.write(
        "server.leaving",
        ImmutableMap.of(
            "server", instance.server().value(),
            "service", instance.service().value(),
            "source", source));
    updateAbsence(instance);
    forgetExcess();
    listeners.forEach(listener -> listener.onLeaving(instance, source));
  }

  /** Takes a new list of servers, and returns it with the marked instances as leaving. */
  ImmutableMap<ReplicaId, BackendServer> update(ImmutableMap<ReplicaId, BackendServer> newList) {
    listed = newList;
    marked.forEach(this::updateAbsence);
    forgetExcess();
    return apply(newList);
  }

  /** Returns servers with the marked instances as leaving. */
  ImmutableMap<ReplicaId, BackendServer> apply(ImmutableMap<ReplicaId, BackendServer> servers) {
    if (marked.isEmpty()) {
      return servers;
    }
    return ImmutableMap.copyOf(
        Maps.transformValues(servers, server -> isLeaving(server) ? server.asLeaving() : server));
  }

  /** Returns the servers of the list with the marked instances as leaving. */
  ImmutableMap<ReplicaId, BackendServer> servers() {
    return apply(listed);
  }

  private boolean isLeaving(BackendServer server) {
    return marked.contains(Instance.of(server)) || mayHaveSetMark(server);
  }

  /** Returns whether the response that marked an earlier instance may have been of this one. */
  private boolean mayHaveSetMark(BackendServer server) {
    ResponseMark mark = responseMarks.get(server.id());
    if (mark == null || !mark.mayMean(server)) {
      return false;
    }
    long remainingNanos = mark.endNanos() - timing.nanoTime();
    if (remainingNanos > 0 && suspectedSuccessors.add(mark)) {
      timing.schedule(Duration.ofNanos(remainingNanos), () -> acceptAgain(mark));
    }
    return remainingNanos > 0;
  }

  private void acceptAgain(ResponseMark mark) {
    suspectedSuccessors.remove(mark);
    listeners.forEach(LeavingListener::onAcceptingAgain);
  }

  boolean isEmpty() {
    return marked.isEmpty();
  }

  /** Returns the instance that the list names under an identifier, if it is marked. */
  Optional<Instance> find(ReplicaId server) {
    return Optional.ofNullable(listed.get(server)).map(Instance::of).filter(marked::contains);
  }

  /** Returns the marked instances of a service. */
  ImmutableList<Instance> instancesOf(ServiceName service) {
    return marked.stream()
        .filter(instance -> instance.service().equals(service))
        .collect(ImmutableList.toImmutableList());
  }

  private void updateAbsence(Instance instance) {
    BackendServer server = listed.get(instance.server());
    if (server != null && Instance.of(server).equals(instance)) {
      absentSinceNanos.remove(instance);
    } else if (absentSinceNanos.putIfAbsent(instance, timing.nanoTime()) == null) {
      scheduleAbsenceCheck();
    }
  }

  private void scheduleAbsenceCheck() {
    if (!absenceCheckScheduled) {
      absenceCheckScheduled = true;
      timing.schedule(ABSENCE_CHECK_PERIOD, this::forgetEnded);
    }
  }

  private void forgetEnded() {
    absenceCheckScheduled = false;
    long now = timing.nanoTime();
    absentSinceNanos.entrySet().stream()
        .filter(entry -> now - entry.getValue() >= ABSENCE_OF_ENDED_INSTANCE.toNanos())
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::forget);
    if (!absentSinceNanos.isEmpty()) {
      scheduleAbsenceCheck();
    }
  }

  /** Forgets the instances with the longest absence beyond the limit. */
  private void forgetExcess() {
    absentSinceNanos.keySet().stream()
        .limit(Math.max(0, absentSinceNanos.size() - MAX_ABSENT))
        .toList()
        .forEach(this::forget);
  }

  private void forget(Instance instance) {
    absentSinceNanos.remove(instance);
    marked.remove(instance);
    responseMarks.values().removeIf(mark -> mark.instance().equals(instance));
    log.write(
        "server.leaving_ended",
        ImmutableMap.of(
            "server", instance.server().value(), "service", instance.service().value()));
  }
}
