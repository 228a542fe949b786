package dev.apricotmill.benchmarks.policy;

import dev.apricotmill.benchmarks.fleet.EngineModel;
import dev.apricotmill.benchmarks.fleet.EngineSequence;
import dev.apricotmill.benchmarks.fleet.EventLoop;
import dev.apricotmill.benchmarks.fleet.FakeEngine;
import dev.apricotmill.benchmarks.fleet.Replicas;
import dev.apricotmill.benchmarks.measure.Ending;
import dev.apricotmill.benchmarks.measure.Recorder;
import dev.apricotmill.benchmarks.workload.Arrival;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToLongFunction;

/**
 * A baseline that sends whole prompts to engines, blind to length and priority.
 *
 * <p>Prompts larger than one engine are refused. A request whose time is over is cancelled.
 */
public final class BaselinePolicy implements ServingPolicy {

  private static final long HOP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int BATCH_SIZE = 8;
  private static final long LONGEST_GATHERING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long LOAD_LAG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EventLoop loop;
  private final EngineModel model;
  private final Replicas replicas;
  private final Recorder recorder;
  private final Baseline baseline;
  private final SplittableRandom random;
  private final List<Integer> laggedLoad = new ArrayList<>();
  private final List<ArrayDeque<Arrival>> queues = new ArrayList<>();
  private final Map<String, ArrayDeque<Arrival>> bins = new HashMap<>();
  private final long[] pendingTokens;
  private int nextReplica;

  /** Creates the baseline over a fleet. */
  public BaselinePolicy(
      EventLoop loop,
      EngineModel model,
      Replicas replicas,
      Recorder recorder,
      Baseline baseline,
      long seed) {
    this.loop = loop;
    this.model = model;
    this.replicas = replicas;
    this.recorder = recorder;
    this.baseline = baseline;
    this.random = new SplittableRandom(seed);
    this.pendingTokens = new long[replicas.count()];
    for (int number = 0; number < replicas.count(); number++) {
      laggedLoad.add(0);
      queues.add(new ArrayDeque<>());
    }
    if (baseline == Baseline.TWO_CHOICES_LAGGED) {
      refreshLoad();
    }
  }

  @Override
  public void submit(Arrival arrival) {
    if (arrival.promptTokens() + arrival.maximumOutputTokens() > model.memoryTokens()) {
      recorder.ended(arrival, Ending.REFUSED, loop.nowNanos());
      return;
    }
    recorder.admitted(arrival);
    int replica = choose();
    pendingTokens[replica] += arrival.promptTokens();
    loop.after(HOP_NANOS, () -> arrive(replica, arrival));
    loop.at(
        arrival.atNanos() + arrival.timeLimitNanos(),
        () -> {
          if (recorder.ended(arrival, Ending.MISSED, loop.nowNanos())) {
            queues.get(replica).remove(arrival);
            replicas.engine(replica).cancel(id(arrival));
            left(replica, arrival);
          }
        });
  }

  @Override
  public void onEngineLost(int replica) {}

  @Override
  public void onEngineBack(int replica) {
    pump(replica);
  }

  @Override
  public void onDaemonLost(int daemon) {}

  @Override
  public void onZoneCut(int zone, boolean cut) {}

  @Override
  public long reservedTokens() {
    return 0;
  }

  private int choose() {
    int count = replicas.count();
    return switch (baseline) {
      case ROUND_ROBIN -> {
        nextReplica = (nextReplica + 1) % count;
        yield nextReplica;
      }
      case RANDOM -> random.nextInt(count);
      case LEAST_OUTSTANDING -> least(number -> replicas.engine(number).open());
      case TWO_CHOICES_LAGGED -> {
        int first = random.nextInt(count);
        int second = random.nextInt(count);
        yield laggedLoad.get(first) <= laggedLoad.get(second) ? first : second;
      }
      case LENGTH_BLIND_QUEUE, MULTI_BIN_BATCHES -> least(number -> pendingTokens[number]);
    };
  }

  private int least(IntToLongFunction load) {
    int best = 0;
    for (int number = 1; number < replicas.count(); number++) {
      if (load.applyAsLong(number) < load.applyAsLong(best)) {
        best = number;
      }
    }
    return best;
  }

  private void refreshLoad() {
    for (int number = 0; number < replicas.count(); number++) {
      laggedLoad.set(number, replicas.engine(number).open());
    }
    loop.after(LOAD_LAG_NANOS, this::refreshLoad);
  }

  private void arrive(int replica, Arrival arrival) {
    if (recorder.hasEnded(arrival)) {
      return;
    }
    if (baseline == Baseline.LENGTH_BLIND_QUEUE) {
      queues.get(replica).add(arrival);
      pump(replica);
    } else if (baseline == Baseline.MULTI_BIN_BATCHES) {
      gather(replica, arrival);
    } else {
      start(replica, arrival);
    }
  }

  /** Puts a request into its bin; a full bin, or one that waited its time, joins the queue. */
  private void gather(int replica, Arrival arrival) {
    String name = replica + "/" + arrival.lengthClass();
    ArrayDeque<Arrival> bin = bins.computeIfAbsent(name, unused -> new ArrayDeque<>());
    bin.add(arrival);
    if (bin.size() >= BATCH_SIZE) {
      flush(replica, bin);
    } else if (bin.size() == 1) {
      loop.after(LONGEST_GATHERING_NANOS, () -> flush(replica, bin));
    }
  }

  private void flush(int replica, ArrayDeque<Arrival> bin) {
    for (Arrival arrival : bin) {
      if (!recorder.hasEnded(arrival)) {
        queues.get(replica).add(arrival);
      }
    }
    bin.clear();
    pump(replica);
  }

  private void pump(int replica) {
    ArrayDeque<Arrival> queue = queues.get(replica);
    FakeEngine engine = replicas.engine(replica);
    while (!queue.isEmpty() && engine.isAlive()) {
      Arrival head = queue.peek();
      long memory = head.promptTokens() + head.maximumOutputTokens();
      if (engine.usedTokens() + memory > model.memoryTokens()) {
        return;
      }
      queue.remove();
      start(replica, head);
    }
  }

  private void start(int replica, Arrival arrival) {
    EngineSequence sequence =
        new EngineSequence(
            id(arrival),
            arrival.promptTokens(),
            arrival.promptTokens() + arrival.maximumOutputTokens(),
            arrival.outputTokens(),
            0,
            arrival.prefix(),
            new EngineSequence.Listener() {
              @Override
              public void onFirstToken(long promptTokens) {
                recorder.firstToken(arrival, loop.nowNanos() + HOP_NANOS);
              }

              @Override
              public void onFinished() {
                end(replica, arrival, Ending.ANSWERED);
              }

              @Override
              public void onBroken() {
                end(replica, arrival, Ending.BROKEN);
              }
            });
    if (!replicas.engine(replica).start(sequence)) {
      end(replica, arrival, Ending.BROKEN);
    }
  }

  private void end(int replica, Arrival arrival, Ending ending) {
    if (recorder.ended(arrival, ending, loop.nowNanos() + HOP_NANOS)) {
      left(replica, arrival);
    }
  }

  private void left(int replica, Arrival arrival) {
    pendingTokens[replica] -= arrival.promptTokens();
    pump(replica);
  }

  private static String id(Arrival arrival) {
    return "request-" + arrival.number();
  }
}
