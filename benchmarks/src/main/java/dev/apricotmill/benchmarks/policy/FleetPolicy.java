package dev.apricotmill.benchmarks.policy;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.benchmarks.fleet.EngineModel;
import dev.apricotmill.benchmarks.fleet.EventLoop;
import dev.apricotmill.benchmarks.fleet.Replicas;
import dev.apricotmill.benchmarks.measure.Ending;
import dev.apricotmill.benchmarks.measure.Recorder;
import dev.apricotmill.benchmarks.workload.Arrival;
import dev.apricotmill.benchmarks.workload.Workload;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.fairness.LimitDecision;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The product's decisions: entry daemons that route, and one steward for each replica. */
public final class FleetPolicy implements ServingPolicy {

  /** Entry daemons of the deployment. */
  public static final int DAEMONS = 6;

  private static final double LIMIT_FACTOR = 2;
  private static final long LOAD_ON_CHUNKS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long NEAR_HOP_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
  private static final long FAR_HOP_NANOS = TimeUnit.MICROSECONDS.toNanos(1_500);

  private final EventLoop loop;
  private final Recorder recorder;
  private final Set<Mechanism> disabled;
  private final List<EntryModel> entries = new ArrayList<>();
  private final List<StewardModel> stewards = new ArrayList<>();
  private final ImmutableList<Customer> customers;
  private final Map<ReplicaId, Integer> numbers = new HashMap<>();
  private final Set<Integer> cutZones = new HashSet<>();
  private final Map<Integer, Set<Journey>> open = new HashMap<>();

  /** Creates the policy over a fleet. */
  public FleetPolicy(
      EventLoop loop,
      EngineModel model,
      Replicas replicas,
      Recorder recorder,
      Objective objective,
      Set<Mechanism> disabled,
      long seed) {
    this.loop = loop;
    this.recorder = recorder;
    this.disabled = disabled;
    EngineProfile profile = model.profile();
    this.customers = customers(new Workload(1, 1, replicas.count(), 1, 1).capacityPerSecond(model));
    for (int number = 0; number < replicas.count(); number++) {
      numbers.put(Replicas.id(number), number);
      stewards.add(new StewardModel(loop, replicas.engine(number), profile, objective, disabled));
    }
    for (int number = 0; number < DAEMONS; number++) {
      entries.add(new EntryModel(number, replicas.count(), profile, objective, disabled, seed));
      open.put(number, new HashSet<>());
    }
    if (!disabled.contains(Mechanism.LOAD_ON_CHUNKS)) {
      loop.after(LOAD_ON_CHUNKS_NANOS, this::sendLoads);
    }
  }

  @Override
  public void submit(Arrival arrival) {
    int daemon = arrival.number() % DAEMONS;
    while (!entries.get(daemon).isAlive()) {
      daemon = (daemon + 1) % DAEMONS;
    }
    if (!isDisabled(Mechanism.CUSTOMER_LIMITS) && isLimited(arrival, daemon)) {
      recorder.ended(arrival, Ending.REFUSED, loop.nowNanos());
      return;
    }
    Journey journey = new Journey(this, arrival, daemon);
    openAt(daemon).add(journey);
    journey.start();
  }

  @Override
  public void onEngineLost(int replica) {}

  @Override
  public void onEngineBack(int replica) {}

  @Override
  public void onDaemonLost(int daemon) {
    entries.get(daemon).die();
    List<Journey> lost = new ArrayList<>(openAt(daemon));
    for (Journey journey : lost) {
      journey.dropAtStewards();
      end(journey, Ending.BROKEN);
    }
    for (int replica = 0; replica < stewards.size(); replica++) {
      if (stewardOf(replica) == daemon) {
        stewards.get(replica).replace();
      }
    }
  }

  @Override
  public void onZoneCut(int zone, boolean cut) {
    if (cut) {
      cutZones.add(zone);
    } else {
      cutZones.remove(zone);
    }
  }

  @Override
  public long reservedTokens() {
    return stewards.stream().mapToLong(steward -> steward.load().reservedTokens()).sum();
  }

  EventLoop loop() {
    return loop;
  }

  Recorder recorder() {
    return recorder;
  }

  EntryModel entry(int daemon) {
    return entries.get(daemon);
  }

  boolean isDisabled(Mechanism mechanism) {
    return disabled.contains(mechanism);
  }

  int number(ReplicaId replica) {
    Integer number = numbers.get(replica);
    if (number == null) {
      throw new IllegalArgumentException("unknown replica " + replica);
    }
    return number;
  }

  StewardModel steward(int replica) {
    return stewards.get(replica);
  }

  /** Returns whether a daemon and a replica's steward can reach each other. */
  boolean reachable(int daemon, int replica) {
    int from = daemon % Replicas.ZONES;
    int to = replica % Replicas.ZONES;
    return from == to || (!cutZones.contains(from) && !cutZones.contains(to));
  }

  long hopNanos(int daemon, int replica) {
    return daemon % Replicas.ZONES == replica % Replicas.ZONES ? NEAR_HOP_NANOS : FAR_HOP_NANOS;
  }

  /** Passes a steward's load to an entry daemon, one hop later. */
  void heard(int daemon, int replica) {
    ReplicaLoad load = stewards.get(replica).load();
    loop.after(
        hopNanos(daemon, replica), () -> entries.get(daemon).heard(replica, load, loop.nowNanos()));
  }

  /** Every steward sends its load with the answers that it passes on. */
  private void sendLoads() {
    for (int replica = 0; replica < stewards.size(); replica++) {
      for (int daemon : stewards.get(replica).daemons()) {
        heard(daemon, replica);
      }
    }
    loop.after(LOAD_ON_CHUNKS_NANOS, this::sendLoads);
  }

  /** Ends a journey once. */
  void end(Journey journey, Ending ending) {
    openAt(journey.daemon()).remove(journey);
    recorder.ended(journey.arrival(), ending, loop.nowNanos());
  }

  private boolean isLimited(Arrival arrival, int daemon) {
    Customer customer = customers.get(arrival.customer());
    LimitDecision decision =
        entries
            .get(daemon)
            .limiter()
            .acquire(customer, arrival.promptTokens(), liveDaemons(), loop.nowNanos());
    return decision instanceof LimitDecision.Limited;
  }

  private int liveDaemons() {
    return (int) entries.stream().filter(EntryModel::isAlive).count();
  }

  private static ImmutableList<Customer> customers(double requestsPerSecond) {
    ImmutableList.Builder<Customer> customers = ImmutableList.builder();
    for (int customer = 0; customer < Workload.CUSTOMERS; customer++) {
      double limit = LIMIT_FACTOR * requestsPerSecond * Workload.customerShare(customer);
      CustomerLimits limits =
          new CustomerLimits(limit, Double.MAX_VALUE, Integer.MAX_VALUE - DAEMONS);
      CustomerId id = new CustomerId("customer-" + customer);
      customers.add(new Customer(id, "", 1, Priority.NORMAL, limits));
    }
    return customers.build();
  }

  private Set<Journey> openAt(int daemon) {
    return open.computeIfAbsent(daemon, unused -> new HashSet<>());
  }

  /** The daemon of the replica's zone that owns the replica; two daemons share a zone. */
  private static int stewardOf(int replica) {
    int zone = replica % Replicas.ZONES;
    return zone + Replicas.ZONES * (replica / Replicas.ZONES % (DAEMONS / Replicas.ZONES));
  }
}
