package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.PlainServiceScheduler;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.RetryPolicy;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Replays short calls to plain servers in virtual time. A server has six slots and a queue of four;
 * a fault decides what it does with each call. Four calls in five may run at most once.
 */
final class PlainCallReplay {

  static final Duration TARGET = Duration.ofMillis(313);
  static final int SLOTS = 6;
  static final int QUEUE = 4;
  private static final double WORK_MILLIS = 61;
  private static final double SLOW_FACTOR = 10;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration REFUSAL_TIME = Duration.ofMillis(2);

  /** Reports are gathered for 8 ms and cross a zone's border. */
  private static final Duration REPORT_TIME = Duration.ofMillis(15);

  private static final double REPEATABLE_SHARE = 0.2;
  private static final int MAX_ATTEMPTS = 3;

  /** What a server does with a call. */
  enum Effect {
    NONE,
    ERROR,
    RESET,
    SLOW,
    UNREACHABLE
  }

  /** How an attempt ended, as its node saw it. */
  private enum End {
    GOOD,
    REFUSED,
    SERVER_ERROR,
    BROKEN
  }

  /** Chooses the servers of all nodes. */
  private interface Balancing {

    Optional<BackendServer> choose(int node, RequestId call, ImmutableSet<ReplicaId> tried);

    void ended(int node, RequestId call, ReplicaId server, End end);
  }

  /** Each node by its own open requests. */
  private final class ByOpenRequests implements Balancing {

    private final List<LeastRequestBalancer> balancers = new ArrayList<>();

    ByOpenRequests(int nodeCount) {
      for (int i = 0; i < nodeCount; i++) {
        balancers.add(new LeastRequestBalancer());
      }
    }

    @Override
    public Optional<BackendServer> choose(int node, RequestId call, ImmutableSet<ReplicaId> tried) {
      LeastRequestBalancer balancer = balancers.get(node);
      Optional<BackendServer> server = balancer.choose(servers, tried, time.nanoTime());
      server.ifPresent(chosen -> balancer.requestStarted(chosen.id()));
      return server;
    }

    @Override
    public void ended(int node, RequestId call, ReplicaId server, End end) {
      balancers.get(node).requestEnded(server);
      if (end == End.BROKEN) {
        balancers.get(node).requestFailed(server, time.nanoTime());
      }
    }
  }

  /** One dispatcher by the answers that all nodes report to it. */
  private final class ByAnswers implements Balancing {

    private final PlainServiceScheduler scheduler;

    ByAnswers(long seed) {
      scheduler = new PlainServiceScheduler(new SplittableRandom(seed));
    }

    @Override
    public Optional<BackendServer> choose(int node, RequestId call, ImmutableSet<ReplicaId> tried) {
      List<BackendServer> candidates =
          servers.stream().filter(server -> !tried.contains(server.id())).toList();
      return scheduler.place(request(call), candidates, time.nanoTime());
    }

    private PlacementRequest request(RequestId call) {
      return new PlacementRequest(
          call,
          RelayFixture.DESK,
          new GenerationSize(0, 0),
          PromptParts.NONE,
          TARGET,
          TARGET,
          Duration.ofSeconds(10),
          ImmutableSet.of());
    }

    @Override
    public void ended(int node, RequestId call, ReplicaId server, End end) {
      timing.schedule(
          REPORT_TIME,
          () -> {
            if (end != End.GOOD) {
              report(new WorkReport.Failed(RelayFixture.DESK, server, false));
            }
            report(new WorkReport.Ended(RelayFixture.DESK, call, end == End.GOOD));
          });
    }

    private void report(WorkReport report) {
      var unused = scheduler.record(report, time.nanoTime());
    }
  }

  /** Decides what a server does with a call that arrives now. */
  @FunctionalInterface
  interface Fault {
    Effect effect(int server, double seconds, double point);
  }

  /**
   * What became of the calls.
   *
   * @param bad the calls that failed or were late
   * @param mostRunning the most calls that one server ran or queued at a time
   * @param sentByServer the calls that were sent to each server
   */
  record Result(int calls, int bad, int mostRunning, List<Integer> sentByServer) {}

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final SplittableRandom random;
  private final Fault fault;
  private final ImmutableList<BackendServer> servers;
  private final Balancing balancing;
  private final Map<ReplicaId, Integer> running = new HashMap<>();
  private final int[] sent;
  private int calls;
  private int bad;
  private int mostRunning;

  private PlainCallReplay(
      long seed, int serverCount, int nodeCount, boolean weighsAnswers, Fault fault) {
    random = new SplittableRandom(seed);
    this.fault = fault;
    servers =
        ScriptedServers.ofServices(serverCount, RelayFixture.DESK).values().stream()
            .map(PlainCallReplay::withSlots)
            .collect(ImmutableList.toImmutableList());
    balancing = weighsAnswers ? new ByAnswers(seed) : new ByOpenRequests(nodeCount);
    sent = new int[serverCount];
  }

  private static BackendServer withSlots(BackendServer server) {
    return new BackendServer(
        server.id(),
        server.service(),
        server.address(),
        server.zone(),
        SLOTS,
        server.ready(),
        server.startedMillis());
  }

  /**
   * Replays the calls of a number of seconds that arrive at random nodes.
   *
   * @param weighsAnswers whether a dispatcher weighs answers; otherwise each node counts its own
   *     open requests
   */
  static Result run(
      long seed,
      int serverCount,
      int nodeCount,
      double callsPerSecond,
      int seconds,
      boolean weighsAnswers,
      Fault fault) {
    PlainCallReplay replay =
        new PlainCallReplay(seed, serverCount, nodeCount, weighsAnswers, fault);
    SplittableRandom arrivals = new SplittableRandom(seed + 1);
    double at = 0;
    while ((at += -Math.log(1 - arrivals.nextDouble()) / callsPerSecond) < seconds) {
      int node = arrivals.nextInt(nodeCount);
      boolean repeatable = arrivals.nextDouble() < REPEATABLE_SHARE;
      RetryPolicy policy = repeatable ? RetryPolicy.REPEATABLE : RetryPolicy.AT_MOST_ONCE;
      replay.timing.schedule(
          Duration.ofNanos((long) (at * 1e9)),
          () -> replay.new Call(node, policy, replay.time.nanoTime()).send());
    }
    replay.time.advance(Duration.ofSeconds(seconds + 10));
    List<Integer> sentByServer = new ArrayList<>();
    for (int count : replay.sent) {
      sentByServer.add(count);
    }
    return new Result(replay.calls, replay.bad, replay.mostRunning, sentByServer);
  }

  private final class Call {

    private final int node;
    private final RetryPolicy policy;
    private final long arrivedNanos;
    private final RequestId id;
    private final ImmutableSet.Builder<ReplicaId> tried = ImmutableSet.builder();
    private int attempts;

    Call(int node, RetryPolicy policy, long arrivedNanos) {
      this.node = node;
      this.policy = policy;
      this.arrivedNanos = arrivedNanos;
      id = new RequestId("call" + ++calls);
    }

    void send() {
      Optional<BackendServer> chosen = balancing.choose(node, id, tried.build());
      if (chosen.isEmpty()) {
        bad++;
        return;
      }
      attempts++;
      ReplicaId server = chosen.get().id();
      int number = servers.indexOf(chosen.get());
      sent[number]++;
      tried.add(server);
      Effect effect = fault.effect(number, time.nanoTime() / 1e9, random.nextDouble());
      int before = running.getOrDefault(server, 0);
      if (effect == Effect.UNREACHABLE) {
        failAfter(CONNECT_TIMEOUT, server, End.BROKEN, /* mayHaveRun= */ false);
      } else if (effect == Effect.RESET) {
        failAfter(REFUSAL_TIME, server, End.BROKEN, /* mayHaveRun= */ true);
      } else if (effect == Effect.ERROR) {
        failAfter(REFUSAL_TIME, server, End.SERVER_ERROR, /* mayHaveRun= */ true);
      } else if (before >= SLOTS + QUEUE) {
        failAfter(REFUSAL_TIME, server, End.REFUSED, /* mayHaveRun= */ false);
      } else {
        run(server, before, effect);
      }
    }

    private void run(ReplicaId server, int before, Effect effect) {
      running.put(server, before + 1);
      mostRunning = Math.max(mostRunning, before + 1);
      double workMillis = WORK_MILLIS * (0.5 + random.nextDouble());
      if (effect == Effect.SLOW) {
        workMillis *= SLOW_FACTOR;
      }
      double queuedMillis = Math.max(0, before + 1 - SLOTS) * WORK_MILLIS / SLOTS;
      timing.schedule(
          Duration.ofNanos((long) ((workMillis + queuedMillis) * 1e6)),
          () -> {
            running.merge(server, -1, Integer::sum);
            balancing.ended(node, id, server, End.GOOD);
            if (time.nanoTime() - arrivedNanos > TARGET.toNanos()) {
              bad++;
            }
          });
    }

    private void failAfter(Duration delay, ReplicaId server, End end, boolean mayHaveRun) {
      timing.schedule(
          delay,
          () -> {
            balancing.ended(node, id, server, end);
            if (policy.allowsRetry(mayHaveRun) && attempts < MAX_ATTEMPTS) {
              send();
            } else {
              bad++;
            }
          });
    }
  }
}
