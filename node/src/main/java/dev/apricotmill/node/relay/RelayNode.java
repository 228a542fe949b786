package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.PlainServiceScheduler;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Relays requests to backend servers.
 *
 * <p>All state of requests is changed on the scheduler of {@link Timing}, which must have one
 * thread.
 */
public final class RelayNode implements ServerNoticeListener {

  /** When a refused caller may retry if no better estimate is known. */
  static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final Timing timing;
  private final RandomGenerator random;
  private final RelaySettings settings;
  private final BackendClient backends;
  private final RequestPlacer placer;
  private final BlockedParts blockedParts;
  private final BackendLimits backendLimits;
  private final EventLog log;
  private final RelayMetrics metrics;
  private final RequestAuthorizer authorizer;
  private final LeastRequestBalancer balancer = new LeastRequestBalancer();
  private final ServerPauses pauses;
  private final BufferBudget responseBuffers;
  private final AtomicReference<ServingView> view = new AtomicReference<>(ServingView.EMPTY);
  private final Set<RelayCall> openCalls = new LinkedHashSet<>();
  private final AtomicInteger openRequestCount = new AtomicInteger();
  private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
  private int budgetNodeCount = 1;
  private volatile @Nullable PlannedStop stop;

  /** Creates a relay with an empty view. */
  public RelayNode(
      Timing timing,
      RandomGenerator random,
      RelaySettings settings,
      BackendClient backends,
      RequestPlacer placer,
      BlockedParts blockedParts,
      BackendLimits backendLimits,
      EventLog log,
      MeterRegistry registry) {
    this.timing = timing;
    this.random = random;
    this.settings = settings;
    this.backends = backends;
    this.placer = placer;
    this.blockedParts = blockedParts;
    this.backendLimits = backendLimits;
    blockedParts.addListener(new BlockedCallsEnder());
    this.log = log;
    responseBuffers = new BufferBudget(settings.maximumBufferedBytes());
    metrics = new RelayMetrics(registry, openRequestCount, responseBuffers::heldBytes);
    metrics.registerRamps(backendLimits.ramps());
    pauses = new ServerPauses(timing, log, metrics, balancer);
    authorizer =
        new RequestAuthorizer(settings.maxConfigurationStaleness(), settings.configurationBound());
  }

  /** Changes the view of the node and returns the new one. */
  public ServingView update(UnaryOperator<ServingView> change) {
    return view.updateAndGet(change);
  }

  /** Returns the current view of the node. */
  public ServingView view() {
    return view.get();
  }

  /** Returns how many requests have no complete response yet. */
  public int openRequests() {
    return openRequestCount.get();
  }

  /** Returns whether the node can serve requests that need a customer's key. */
  public boolean isReady() {
    ServingView currentView = view.get();
    return currentView.configuration().isPresent()
        && currentView.servers().isPresent()
        && currentView
            .validatedAt()
            .filter(
                validatedAt ->
                    validatedAt.isFresh(
                        timing.nanoTime(),
                        timing.clock().millis(),
                        settings.maxConfigurationStaleness()))
            .isPresent();
  }

  /** Begins a planned stop; the process is killed after {@code grace}. */
  public void beginStop(Duration grace) {
    stop = new PlannedStop(timing.nanoTime(), grace);
  }

  /**
   * Advances the stop that has begun and returns its phase; to be called often.
   *
   * @param openResponses responses that callers have not received completely
   */
  public PlannedStop.Phase advanceStop(long openResponses) {
    PlannedStop current = stop;
    if (current == null) {
      throw new IllegalStateException("no stop has begun");
    }
    PlannedStop.Phase phase =
        current.advance(timing.nanoTime(), Math.max(openRequests(), openResponses));
    if (phase == PlannedStop.Phase.RESPONDING) {
      timing.scheduler().execute(this::endOpenCalls);
    }
    return phase;
  }

  private void endOpenCalls() {
    ImmutableList.copyOf(openCalls).forEach(RelayCall::endForStop);
  }

  @Override
  public void onNotice(BackendServer server, ServerNotice notice) {
    notice
        .pause()
        .ifPresent(pause -> timing.scheduler().execute(() -> pauses.pause(server, pause)));
    backendLimits.onNotice(server, notice);
    if (notice.requestsPerSecond().isPresent()) {
      metrics.recordNamedLimit();
    }
  }

  /** Accepts a request; its response goes to {@code caller}. */
  public void accept(RelayRequest request, CallerConnection caller) {
    long arrivedNanos = timing.nanoTime();
    openRequestCount.incrementAndGet();
    timing.scheduler().execute(() -> begin(request, caller, arrivedNanos));
  }

  private void begin(RelayRequest request, CallerConnection caller, long arrivedNanos) {
    ServingView currentView = view.get();
    PlannedStop currentStop = stop;
    if (currentStop != null && !currentStop.isAccepting(timing.nanoTime())) {
      refuse(request, caller, RelayRefusal.STOPPING, currentView);
      return;
    }
    RequestAuthorizer.Decision decision =
        authorizer.authorize(
            currentView, request, random.nextDouble(), timing.nanoTime(), timing.clock().millis());
    if (decision instanceof RequestAuthorizer.Decision.Refused refused) {
      refuse(request, caller, refused.refusal(), currentView);
    } else if (decision instanceof RequestAuthorizer.Decision.Allowed allowed) {
      Duration timeLimit = request.timeLimit(allowed.route(), settings.defaultTimeout());
      if (currentStop != null
          && !currentStop.fits(allowed.route().retryPolicy(), arrivedNanos, timeLimit)) {
        refuse(request, caller, RelayRefusal.STOPPING, currentView);
        return;
      }
      retryBudget(allowed.service().name()).onRequest();
      RelayCall call = new RelayCall(this, request, caller, allowed, arrivedNanos);
      openCalls.add(call);
      call.start();
    }
  }

  /** Ends the open requests whose prompts are blocked, before they crash another engine. */
  private final class BlockedCallsEnder implements BlockedParts.BlockListener {

    @Override
    public void onBlocked(String part, BlockedParts.Source source) {
      ImmutableList.copyOf(openCalls).forEach(call -> call.onPartBlocked(part));
    }

    @Override
    public void onExpired(String part) {}
  }

  private void refuse(
      RelayRequest request,
      CallerConnection caller,
      RelayRefusal refusal,
      ServingView currentView) {
    log(
        "relay.refused",
        request.id(),
        ImmutableMap.of(
            "reason",
            refusal,
            "configuration",
            currentView.configuration().map(configuration -> configuration.version()).orElse(0L),
            "proof_age_ms",
            currentView
                .validatedAt()
                .map(validatedAt -> validatedAt.age(timing.nanoTime()).toMillis())
                .orElse(-1L),
            "path",
            request.path()));
    // Another node can take the request at once.
    caller.refuse(refusal, refusal == RelayRefusal.STOPPING ? Duration.ZERO : RETRY_AFTER);
    metrics.recordRefusal(refusal);
    requestEnded();
  }

  /** Records the end of a call; called once for each. */
  void callEnded(RelayCall call) {
    openCalls.remove(call);
    requestEnded();
  }

  private void requestEnded() {
    openRequestCount.decrementAndGet();
  }

  /** Logs and counts that a server without engines gets few requests, or its full share again. */
  public void onWeightChanged(ServiceName service, PlainServiceScheduler.WeightChange change) {
    if (change.failing()) {
      metrics.recordFailingServer();
    }
    log.write(
        change.failing() ? "server.weight_lowered" : "server.weight_restored",
        ImmutableMap.of("server", change.server().value(), "service", service.value()));
  }

  /** Returns the retry budget of a service; a node has its share of the reserve of all nodes. */
  RetryBudget retryBudget(ServiceName service) {
    int nodeCount = view.get().nodeCount();
    int capacity = Math.max(1, settings.retryReserve() / nodeCount);
    if (nodeCount != budgetNodeCount) {
      budgetNodeCount = nodeCount;
      retryBudgets.values().forEach(budget -> budget.changeCapacity(capacity));
    }
    return retryBudgets.computeIfAbsent(
        service, name -> new RetryBudget(settings.retriesPerThousandRequests(), capacity));
  }

  void log(String event, RequestId request, ImmutableMap<String, Object> fields) {
    Map<String, Object> allFields = new LinkedHashMap<>();
    allFields.put("request", request.value());
    allFields.putAll(fields);
    log.write(event, ImmutableMap.copyOf(allFields));
  }

  HelperReservations newHelperReservations(
      RequestId request, String name, ImmutableList<BackendServer> servers, long tokens) {
    return new HelperReservations(
        timing, backends, log, this::renewalAt, request, name, servers, tokens);
  }

  private HelperReservations.Renewal renewalAt(BackendServer server) {
    if (pauses.isPaused(server) || !backendLimits.ramps().tryTakeSend(server)) {
      return HelperReservations.Renewal.NEVER;
    }
    return backendLimits.isLimited(server)
        ? HelperReservations.Renewal.SPARSE
        : HelperReservations.Renewal.FREQUENT;
  }

  Timing timing() {
    return timing;
  }

  RelaySettings settings() {
    return settings;
  }

  /** Returns the memory for what is buffered of the responses of all servers. */
  BufferBudget responseBuffers() {
    return responseBuffers;
  }

  BackendClient backends() {
    return backends;
  }

  BlockedParts blockedParts() {
    return blockedParts;
  }

  BackendLimits backendLimits() {
    return backendLimits;
  }

  RequestPlacer placer() {
    return placer;
  }

  LeastRequestBalancer balancer() {
    return balancer;
  }

  ServerPauses pauses() {
    return pauses;
  }

  RelayMetrics metrics() {
    return metrics;
  }
}
