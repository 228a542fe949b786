package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Replays the prompts of a day in virtual time: arrivals from a seed, a scheduler that hears of
 * first events and ends 5 ms late, and clients that repeat a refused request once.
 */
final class PromptReplay {

  private static final ServiceName POOL = new ServiceName("pool");
  private static final double REPORT_DELAY_MILLIS = 5;
  private static final int EVENTS = 31;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final int OUTPUT_TOKENS = EVENTS * 48;
  private static final double PHASE_MILLIS = 9_500;

  private final Deployment deployment;
  private final Random random;
  private final ReplayClock clock = new ReplayClock();
  private final PoolScheduler scheduler;
  private final Map<ReplicaId, ReplayedEngine> engines = new HashMap<>();
  private final Map<Size, Result> results = new EnumMap<>(Size.class);
  private int requests;

  /** A class of prompt sizes. */
  enum Size {
    SHORT,
    MEDIUM,
    LONG
  }

  /** What callers send of one class, and what a response is worth on time and late. */
  record Load(
      double perSecond,
      double firstEventMillis,
      double gapMillis,
      double timeoutMillis,
      double value,
      double lateValue) {}

  /** A pool and its load; medium prompts, whose value the page does not state, are worth 3. */
  record Deployment(EngineCostModel costModel, int engines, Map<Size, Load> loads) {

    static final Deployment BAJIO =
        new Deployment(
            engine(15_800),
            45,
            Map.of(
                Size.SHORT, new Load(39.2, 259, 250, 10_000, 1.8, 0.18),
                Size.MEDIUM, new Load(4.64, 1_514, 600, 10_000, 3, 0.75),
                Size.LONG, new Load(1.64, 6_024, 1_000, 15_000, 7.3, 2.8)));

    static final Deployment HUDUD =
        new Deployment(
            engine(14_400),
            78,
            Map.of(
                Size.SHORT, new Load(80, 309, 250, 10_000, 1.3, 0.33),
                Size.MEDIUM, new Load(5.44, 1_514, 600, 10_000, 3, 0.75),
                Size.LONG, new Load(3.35, 3_024, 1_000, 15_000, 20, 5.1)));

    /** Returns the deployment with the same load on fewer engines. */
    Deployment lost(int lostEngines) {
      return new Deployment(costModel, engines - lostEngines, loads);
    }

    private static EngineCostModel engine(long meanPromptTokens) {
      return new EngineCostModel(
          8, 197_200, 1.02, 0.007, 0.00254, 206, 0.138, 48, meanPromptTokens);
    }

    /** Returns the deployment with another number of engines and the same load for each. */
    Deployment withEngines(int newEngines) {
      double factor = (double) newEngines / engines;
      Map<Size, Load> scaled = new EnumMap<>(Size.class);
      loads.forEach(
          (size, load) ->
              scaled.put(
                  size,
                  new Load(
                      load.perSecond() * factor,
                      load.firstEventMillis(),
                      load.gapMillis(),
                      load.timeoutMillis(),
                      load.value(),
                      load.lateValue())));
      return new Deployment(costModel, newEngines, scaled);
    }
  }

  /** What became of the requests of one class. */
  record Result(
      int sent,
      int onTime,
      int late,
      int refused,
      int reserved,
      int unused,
      double earned,
      double possible) {

    private static final Result NONE = new Result(0, 0, 0, 0, 0, 0, 0, 0);

    private static Result ofSent(double value) {
      return new Result(1, 0, 0, 0, 0, 0, 0, value);
    }

    private static Result ofRefused() {
      return new Result(0, 0, 0, 1, 0, 0, 0, 0);
    }

    private static Result ofReservations(int reserved, int unused) {
      return new Result(0, 0, 0, 0, reserved, unused, 0, 0);
    }

    private static Result ofEnded(boolean late, double earned) {
      return new Result(0, late ? 0 : 1, late ? 1 : 0, 0, 0, 0, earned, 0);
    }

    Result plus(Result other) {
      return new Result(
          sent + other.sent,
          onTime + other.onTime,
          late + other.late,
          refused + other.refused,
          reserved + other.reserved,
          unused + other.unused,
          earned + other.earned,
          possible + other.possible);
    }
  }

  PromptReplay(Deployment deployment, long seed, boolean competing) {
    this.deployment = deployment;
    random = new Random(seed);
    scheduler = new PoolScheduler(deployment.costModel(), competing);
    ImmutableList<BackendServer> servers =
        IntStream.range(0, deployment.engines())
            .mapToObj(PromptReplay::server)
            .collect(ImmutableList.toImmutableList());
    scheduler.updateServers(servers, deployment.costModel());
    servers.forEach(
        server -> engines.put(server.id(), new ReplayedEngine(deployment.costModel(), clock)));
    for (Size size : Size.values()) {
      results.put(size, Result.NONE);
    }
  }

  private static BackendServer server(int number) {
    return new BackendServer(
        new ReplicaId(String.format("e%03d", number)),
        POOL,
        new PeerAddress("10.0.0.1", 1024 + number),
        new Zone("z" + number % 3),
        8,
        true,
        1);
  }

  /** Alternates the mix between long and short prompts, as on the heavy days. */
  PromptReplay withTurnsOfTheMix(int turns) {
    for (int turn = 0; turn < turns; turn++) {
      boolean isLong = turn % 2 == 0;
      addArrivals(Size.SHORT, turn, isLong ? 0.38 : 2.4);
      addArrivals(Size.MEDIUM, turn, 1);
      addArrivals(Size.LONG, turn, isLong ? 2.75 : 0.05);
    }
    return this;
  }

  /** Sends some prompts of one size at once. */
  PromptReplay withBurst(Size size, double atMillis, int count, long tokens) {
    for (int i = 0; i < count; i++) {
      clock.after(atMillis, () -> new Call(size, tokens).send());
    }
    return this;
  }

  private void addArrivals(Size size, int turn, double factor) {
    double perMillisecond = deployment.loads().get(size).perSecond() * factor / 1_000;
    double atMillis = -Math.log(1 - random.nextDouble()) / perMillisecond;
    while (atMillis < PHASE_MILLIS) {
      long tokens = tokens(size);
      clock.after(turn * PHASE_MILLIS + atMillis, () -> new Call(size, tokens).send());
      atMillis -= Math.log(1 - random.nextDouble()) / perMillisecond;
    }
  }

  private long tokens(Size size) {
    double spread = Math.exp(0.55 * random.nextGaussian());
    return switch (size) {
      case SHORT -> 4_960;
      case MEDIUM -> Math.min(110_000, Math.max(15_000, (long) (45_000 * spread)));
      case LONG -> Math.min(600_000, Math.max(60_000, (long) (190_000 * spread)));
    };
  }

  Map<Size, Result> run() {
    clock.run();
    return results;
  }

  /** Returns the share of the possible value that was earned. */
  static double share(Map<Size, Result> results) {
    return results.values().stream().mapToDouble(result -> result.earned()).sum()
        / results.values().stream().mapToDouble(result -> result.possible()).sum();
  }

  /** One request of a client. */
  private final class Call {
    private final Load load;
    private final Size size;
    private final long tokens;
    private final double startMillis = clock.nowMillis();
    private final RequestId id = new RequestId("r" + requests++);
    private boolean repeated;
    private boolean late;
    private int partsLeft;
    private int attempts;
    private Map<ReplicaId, Long> memory = Map.of();
    private int events;
    private double lastEventMillis = startMillis;

    Call(Size size, long tokens) {
      load = deployment.loads().get(size);
      this.size = size;
      this.tokens = tokens;
      add(Result.ofSent(load.value()));
    }

    private void add(Result result) {
      results.merge(size, result, Result::plus);
    }

    void send() {
      double waited = clock.nowMillis() - startMillis;
      PlacementRequest request =
          new PlacementRequest(
              id,
              POOL,
              new GenerationSize(tokens, OUTPUT_TOKENS),
              PromptParts.NONE,
              Duration.ofMillis((long) Math.max(0, load.firstEventMillis() - waited)),
              Duration.ofMillis((long) load.gapMillis()),
              Duration.ofMillis((long) (load.timeoutMillis() - waited)),
              ImmutableSet.of());
      Placement placement = scheduler.place(request, clock.nowNanos());
      if (placement instanceof Placement.Granted granted) {
        if (tryTakeMemory(granted)) {
          read(granted);
        } else if (++attempts < MAXIMUM_ATTEMPTS) {
          send();
        } else {
          add(Result.ofRefused());
        }
      } else if (placement instanceof Placement.Full full && !repeated) {
        repeated = true;
        clock.after((double) full.retryAfter().toMillis(), this::send);
      } else {
        add(Result.ofRefused());
      }
    }

    /** Takes the memory of a placement on all of its engines or on none. */
    private boolean tryTakeMemory(Placement.Granted granted) {
      long reserved = granted.reservedTokens();
      long own = tokens + OUTPUT_TOKENS - reserved * granted.helpers().size();
      Map<ReplicaId, Long> taken = new HashMap<>();
      if (engines.get(granted.server()).tryTake(own)) {
        taken.put(granted.server(), own);
      }
      for (ReplicaId helper : granted.helpers()) {
        if (reserved > 0 && engines.get(helper).tryTake(reserved)) {
          taken.put(helper, reserved);
        }
      }
      int needed = 1 + (reserved > 0 ? granted.helpers().size() : 0);
      int reservations = taken.size() - (taken.containsKey(granted.server()) ? 1 : 0);
      if (taken.size() < needed) {
        add(Result.ofReservations(reservations, reservations));
        taken.forEach((engine, held) -> engines.get(engine).release(held));
        scheduler.onEnd(id, clock.nowNanos());
        return false;
      }
      add(Result.ofReservations(reservations, 0));
      memory = taken;
      return true;
    }

    private void read(Placement.Granted granted) {
      List<ReplicaId> readers =
          Stream.concat(Stream.of(granted.server()), granted.helpers().stream()).toList();
      partsLeft = readers.size();
      double partTokens = (double) tokens / partsLeft;
      double partMillis = deployment.costModel().prefillMillis(tokens) / partsLeft;
      readers.forEach(
          reader ->
              engines
                  .get(reader)
                  .read(
                      partTokens,
                      partMillis,
                      !reader.equals(granted.server()),
                      () -> onPartRead(engines.get(granted.server()))));
    }

    private void onPartRead(ReplayedEngine engine) {
      if (--partsLeft == 0) {
        engine.decode(tokens, EVENTS - 1, this::onEvent);
        onEvent(clock.nowMillis());
      }
    }

    private void onEvent(double nowMillis) {
      if (events++ == 0) {
        late = nowMillis - startMillis > load.firstEventMillis();
        clock.after(REPORT_DELAY_MILLIS, () -> scheduler.onFirstEvent(id, clock.nowNanos()));
      } else {
        late |= nowMillis - lastEventMillis > load.gapMillis();
      }
      lastEventMillis = nowMillis;
      if (events == EVENTS) {
        end(nowMillis);
      }
    }

    private void end(double nowMillis) {
      memory.forEach((engine, held) -> engines.get(engine).release(held));
      clock.after(REPORT_DELAY_MILLIS, () -> scheduler.onEnd(id, clock.nowNanos()));
      boolean lost = nowMillis - startMillis > load.timeoutMillis();
      add(Result.ofEnded(late, lost ? 0 : late ? load.lateValue() : load.value()));
    }
  }
}
