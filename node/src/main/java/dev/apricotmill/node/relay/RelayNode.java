package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * Relays requests to backend servers.
 *
 * <p>All state of requests is changed on the scheduler of {@link Timing}, which must have one
 * thread.
 */
public final class RelayNode {

  /** When a refused caller may come back if nothing better is known. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  private final Timing timing;
  private final RelaySettings settings;
  private final BackendPort backends;
  private final Placements placements;
  private final EventLog log;
  private final RelayMeters meters;
  private final RelayGate gate;
  private final PlainServers plainServers = new PlainServers();
  private final AtomicReference<ServingView> view = new AtomicReference<>(ServingView.NOTHING);
  private final AtomicInteger open = new AtomicInteger();
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
  private int budgetNodes = 1;
  private volatile boolean stopped;

  /** Creates a relay that knows nothing yet. */
  public RelayNode(
      Timing timing,
      RelaySettings settings,
      BackendPort backends,
      Placements placements,
      EventLog log,
      MeterRegistry registry) {
    this.timing = timing;
    this.settings = settings;
    this.backends = backends;
    this.placements = placements;
    this.log = log;
    meters = new RelayMeters(registry, open);
    gate = new RelayGate(settings.longestProofAge());
  }

  /** Changes what the node knows. */
  public ServingView update(UnaryOperator<ServingView> change) {
    return view.updateAndGet(change);
  }

  /** Returns what the node knows. */
  public ServingView view() {
    return view.get();
  }

  /** Returns how many requests have no whole answer yet. */
  public int openRequests() {
    return open.get();
  }

  /** Returns whether the node can serve requests that need a customer's key. */
  public boolean isReady() {
    ServingView now = view.get();
    return now.configuration().isPresent()
        && now.servers().isPresent()
        && now.proof()
            .filter(
                proof ->
                    proof.isFresh(
                        timing.nanoTime(), timing.clock().millis(), settings.longestProofAge()))
            .isPresent();
  }

  /** Refuses from now on what comes, as not run; open requests go on. */
  public void stopTaking() {
    stopped = true;
  }

  /** Takes a request; its answer goes to {@code caller}. */
  public void accept(RelayRequest request, RelayCaller caller) {
    long arrivedNanos = timing.nanoTime();
    open.incrementAndGet();
    timing.scheduler().execute(() -> begin(request, caller, arrivedNanos));
  }

  private void begin(RelayRequest request, RelayCaller caller, long arrivedNanos) {
    ServingView now = view.get();
    if (stopped) {
      refuse(request, caller, RelayRefusal.STOPPING, now);
      return;
    }
    RelayGate.Decision decision =
        gate.decide(
            now,
            request,
            ThreadLocalRandom.current().nextDouble(),
            timing.nanoTime(),
            timing.clock().millis());
    if (decision instanceof RelayGate.Decision.Refused refused) {
      refuse(request, caller, refused.refusal(), now);
    } else if (decision instanceof RelayGate.Decision.Allowed allowed) {
      budget(allowed.service().name()).onRequest();
      new RelayCall(this, request, caller, allowed, arrivedNanos).start();
    }
  }

  private void refuse(
      RelayRequest request, RelayCaller caller, RelayRefusal refusal, ServingView now) {
    log(
        "relay.refused",
        request.id(),
        ImmutableMap.of(
            "reason",
            refusal,
            "configuration",
            now.configuration().map(known -> known.version()).orElse(0L),
            "proof_age_ms",
            now.proof().map(proof -> proof.age(timing.nanoTime()).toMillis()).orElse(-1L),
            "path",
            request.path()));
    caller.refuse(refusal, COME_BACK);
    meters.refused(refusal);
    ended();
  }

  /** Notes the end of a request; called once for each. */
  void ended() {
    open.decrementAndGet();
  }

  /** Returns the budget of retries for a service; a node holds its share of the reserve. */
  RetryBudget budget(ServiceName service) {
    int nodes = view.get().nodes();
    int share = Math.max(1, settings.retryReserve() / nodes);
    if (nodes != budgetNodes) {
      budgetNodes = nodes;
      budgets.values().forEach(budget -> budget.changeCapacity(share));
    }
    return budgets.computeIfAbsent(
        service, name -> new RetryBudget(settings.retriesPerThousandRequests(), share));
  }

  void log(String event, RequestId request, ImmutableMap<String, Object> fields) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("request", request.value());
    line.putAll(fields);
    log.write(event, ImmutableMap.copyOf(line));
  }

  PartReservations newReservations(
      RequestId request, ImmutableList<BackendServer> servers, long tokens) {
    return new PartReservations(timing, backends, log, request, servers, tokens);
  }

  Timing timing() {
    return timing;
  }

  RelaySettings settings() {
    return settings;
  }

  BackendPort backends() {
    return backends;
  }

  Placements placements() {
    return placements;
  }

  PlainServers plainServers() {
    return plainServers;
  }

  RelayMeters meters() {
    return meters;
  }
}
