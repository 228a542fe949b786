package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** A relay in virtual time, with recorded callers and scripted backend servers. */
final class RelayFixture {

  static final ServiceName POOL = new ServiceName("pool");
  static final ServiceName DESK = new ServiceName("desk");
  private static final Duration MAX_STALENESS = Duration.ofMillis(4600);

  /** The time within which a confirmed configuration is in force. */
  static final Duration CONFIGURATION_BOUND = Duration.ofSeconds(2);

  /** What the relay may buffer of all responses together. */
  static final int MAX_BUFFERED_BYTES = 16 << 20;

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final List<SentExchange> sent = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<String> reservationCalls = new ArrayList<>();
  private final List<String> releasedReservations = new ArrayList<>();
  private BackendClient.ReserveResult reserveResult = BackendClient.ReserveResult.RESERVED;
  private long promptTokens = 5_000;
  private final BackendLimits backendLimits =
      new BackendLimits(timing, (event, fields) -> log.add(event + " " + fields));
  private final LocalPlacer placer = new LocalPlacer(timing, backendLimits);
  private final RelayNode node;

  RelayFixture(int retryReserve) {
    this(retryReserve, /* weighsAnswers= */ false);
  }

  /** Creates a relay that is its own dispatcher. */
  RelayFixture(int retryReserve, boolean weighsAnswers) {
    node =
        new RelayNode(
            timing,
            new SplittableRandom(1),
            new RelaySettings(
                MAX_STALENESS,
                CONFIGURATION_BOUND,
                Duration.ofSeconds(10),
                0,
                retryReserve,
                MAX_BUFFERED_BYTES,
                weighsAnswers),
            new ScriptedBackends(),
            placer,
            new BlockedParts(timing, (event, fields) -> log.add(event + " " + fields)),
            backendLimits,
            (event, fields) -> log.add(event + " " + fields),
            new SimpleMeterRegistry());
    if (weighsAnswers) {
      placer.weighAnswers(new SplittableRandom(1), node::onWeightChanged);
    }
    node.update(view -> view.withConfiguration(configuration(1), Optional.of(validatedNow())));
    setServers(ScriptedServers.ofServices(3, POOL, DESK));
  }

  /** Records the requests; reservations get the scripted result. */
  private final class ScriptedBackends implements BackendClient {

    @Override
    public Exchange send(BackendRequest request, ResponseListener listener) {
      SentExchange exchange = new SentExchange(request, listener);
      sent.add(exchange);
      return exchange;
    }

    @Override
    public void reserve(
        BackendServer server,
        String reservation,
        long tokens,
        Duration duration,
        Consumer<ReserveResult> callback) {
      reservationCalls.add("reserve " + server.id().value());
      callback.accept(reserveResult);
    }

    @Override
    public void release(BackendServer server, String reservation) {
      reservationCalls.add("release " + server.id().value());
      releasedReservations.add(reservation);
    }
  }

  VirtualTime time() {
    return time;
  }

  Timing timing() {
    return timing;
  }

  RelayNode node() {
    return node;
  }

  /** Returns all attempts so far. */
  List<SentExchange> sent() {
    return sent;
  }

  /** Returns the lines that were logged so far about servers. */
  List<String> logOfServers() {
    return log.stream().filter(line -> line.startsWith("server.")).toList();
  }

  /** Returns the calls so far that reserved, renewed or released memory. */
  List<String> reservationCalls() {
    return reservationCalls;
  }

  /** Returns the names of the reservations that were released so far. */
  List<String> releasedReservations() {
    return releasedReservations;
  }

  void setReserveResult(BackendClient.ReserveResult result) {
    reserveResult = result;
  }

  /** Replaces the list of servers. */
  void setServers(ImmutableMap<ReplicaId, BackendServer> servers) {
    placer.update(node.update(view -> view.withServers(servers)));
  }

  void setPromptTokens(long tokens) {
    promptTokens = tokens;
  }

  /** Returns the number of requests in the scheduler of the pool. */
  int placedCount() {
    return placer.poolScheduler(POOL).orElseThrow().placedCount();
  }

  /** Returns the bytes that the relay has buffered of all responses. */
  long bufferedBytes() {
    return node.responseBuffers().heldBytes();
  }

  ReadTimestamp validatedNow() {
    return new ReadTimestamp(timing.nanoTime(), timing.clock().millis());
  }

  /** Accepts a request to {@code path} and runs the due tasks. */
  RecordedCaller accept(String path) {
    return accept(path, OptionalLong.empty());
  }

  RecordedCaller accept(String path, OptionalLong resumeAfterEvent) {
    return accept("r1", path, resumeAfterEvent);
  }

  RecordedCaller accept(String id, String path, OptionalLong resumeAfterEvent) {
    RecordedCaller caller = new RecordedCaller();
    node.accept(
        new RelayRequest(
            new RequestId(id),
            "host",
            "POST",
            path,
            ImmutableMap.of(),
            new byte[0],
            Optional.of("key"),
            Optional.of(Duration.ofSeconds(5)),
            path.startsWith("/stream/")
                ? Optional.of(new GenerationSize(promptTokens, 100))
                : Optional.empty(),
            PromptParts.NONE,
            resumeAfterEvent),
        caller);
    time.runDue();
    return caller;
  }

  SentExchange last() {
    return sent.get(sent.size() - 1);
  }

  static ServingConfiguration configuration(long version) {
    return ScriptedRoutes.configuration(version);
  }

  /** An attempt whose response the test controls. */
  final class SentExchange implements BackendClient.Exchange {

    private final BackendClient.BackendRequest request;
    private final BackendClient.ResponseListener listener;
    private boolean cancelled;
    private boolean readingPaused;
    private @Nullable String faultyServer;

    SentExchange(BackendClient.BackendRequest request, BackendClient.ResponseListener listener) {
      this.request = request;
      this.listener = listener;
    }

    BackendClient.BackendRequest request() {
      return request;
    }

    boolean cancelled() {
      return cancelled;
    }

    boolean readingPaused() {
      return readingPaused;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public void pauseReading() {
      readingPaused = true;
    }

    @Override
    public void resumeReading() {
      readingPaused = false;
    }

    void setFaultyServer(String idOrAddress) {
      faultyServer = idOrAddress;
    }

    void head(int status, boolean notRun) {
      listener.onHead(
          new BackendClient.Head(
              status,
              ImmutableMap.of("from", request.server().id().value()),
              notRun,
              Optional.ofNullable(faultyServer)));
      time.runDue();
    }

    /** Refuses the request as not run, and asks for a pause. */
    void refuse(Duration pause) {
      node.onNotice(request.server(), new ServerNotice(false, Optional.of(pause)));
      head(503, true);
    }

    void body(String text) {
      arrive(text);
      time.runDue();
    }

    /** Adds to the body while the relay is busy with other tasks. */
    void arrive(String text) {
      listener.onBody(text.getBytes(StandardCharsets.UTF_8));
    }

    void end() {
      listener.onEnd();
      time.runDue();
    }

    void fail(boolean maybeSent) {
      listener.onFailure(maybeSent, BackendFailure.CONNECTION_LOST);
      time.runDue();
    }
  }

  /** Records the response that a caller gets. */
  static final class RecordedCaller implements CallerConnection {

    private final StringBuilder body = new StringBuilder();
    private @Nullable RelayRefusal refusal;
    private @Nullable Duration retryAfter;
    private int status;
    private ImmutableMap<String, String> headers = ImmutableMap.of();
    private boolean ended;
    private boolean aborted;
    private int finalResponses;
    private boolean disconnected;
    private @Nullable ConnectionListener listener;

    String body() {
      return body.toString();
    }

    @Nullable RelayRefusal refusal() {
      return refusal;
    }

    @Nullable Duration retryAfter() {
      return retryAfter;
    }

    int status() {
      return status;
    }

    ImmutableMap<String, String> headers() {
      return headers;
    }

    boolean ended() {
      return ended;
    }

    boolean aborted() {
      return aborted;
    }

    /** Returns how many final responses came. */
    int finalResponses() {
      return finalResponses;
    }

    boolean hasDisconnected() {
      return disconnected;
    }

    void disconnect() {
      disconnected |= finalResponses == 0;
      Objects.requireNonNull(listener).onDisconnected();
    }

    /** Reads chunks of the response. */
    void readChunks(int count) {
      Objects.requireNonNull(listener).onChunksWritten(count);
    }

    @Override
    public void refuse(RelayRefusal reason, Duration newRetryAfter) {
      refusal = reason;
      retryAfter = newRetryAfter;
      finalResponses++;
    }

    @Override
    public void respond(int newStatus, ImmutableMap<String, String> newHeaders, byte[] newBody) {
      beginStream(newStatus, newHeaders);
      write(newBody);
      endStream();
    }

    @Override
    public void beginStream(int newStatus, ImmutableMap<String, String> newHeaders) {
      status = newStatus;
      headers = newHeaders;
    }

    @Override
    public void write(byte[] chunk) {
      body.append(new String(chunk, StandardCharsets.UTF_8));
    }

    @Override
    public void endStream() {
      ended = true;
      finalResponses++;
    }

    @Override
    public void abort() {
      aborted = true;
      finalResponses++;
    }

    @Override
    public void setListener(ConnectionListener newListener) {
      listener = newListener;
    }
  }
}
