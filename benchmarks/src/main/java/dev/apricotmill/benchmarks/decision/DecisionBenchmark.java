package dev.apricotmill.benchmarks.decision;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.fairness.CustomerLimiter;
import dev.apricotmill.core.fairness.LimitDecision;
import dev.apricotmill.core.health.ReplicaHealth;
import dev.apricotmill.core.length.LengthEstimator;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.routing.ReplicaRouter;
import dev.apricotmill.core.routing.ReplicaView;
import dev.apricotmill.core.routing.RoutingDecision;
import dev.apricotmill.core.steward.ReplicaLoad;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time of one decision on a request's path at the entry daemon. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionBenchmark {

  private static final int CUSTOMERS = 35_000;
  private static final int ZONES = 6;
  private static final int ENTRIES = 350;
  private static final ServiceName SERVICE = new ServiceName("model");

  /** The replicas of the pool. */
  @Param({"20", "600"})
  private int replicas;

  /** The bytes of the prompt, of a short and of a long one. */
  @Param({"4000", "400000"})
  private long promptBytes;

  private final SplittableRandom random = new SplittableRandom(7);
  private final ReplicaRouter router = new ReplicaRouter(new Zone("zone-0"));
  private final CustomerLimiter limiter = new CustomerLimiter();
  private final LengthEstimator estimator = new LengthEstimator();
  private final ReplicaHealth health = new ReplicaHealth();
  private ImmutableList<ReplicaView> views = ImmutableList.of();
  private ImmutableList<Customer> customers = ImmutableList.of();
  private long now;

  /** Creates the views and the customers. */
  @Setup
  public void setUp() {
    ImmutableList.Builder<ReplicaView> viewBuilder = ImmutableList.builder();
    for (int number = 0; number < replicas; number++) {
      viewBuilder.add(view(number));
    }
    views = viewBuilder.build();
    ImmutableList.Builder<Customer> customerBuilder = ImmutableList.builder();
    CustomerLimits limits = new CustomerLimits(1e9, 1e12, Integer.MAX_VALUE - ENTRIES);
    for (int number = 0; number < CUSTOMERS; number++) {
      CustomerId id = new CustomerId("customer-" + number);
      customerBuilder.add(new Customer(id, "", 1, Priority.NORMAL, limits));
    }
    customers = customerBuilder.build();
  }

  /** Limits, length estimate and choice of a replica. */
  @Benchmark
  public RoutingDecision decide() {
    now += TimeUnit.MICROSECONDS.toNanos(100);
    Customer customer = customers.get(random.nextInt(CUSTOMERS));
    long tokens = estimator.estimate(SERVICE, promptBytes).tokens();
    LimitDecision limit = limiter.acquire(customer, tokens, ENTRIES, now);
    if (limit instanceof LimitDecision.Limited) {
      throw new IllegalStateException("the benchmark stays within the limits");
    }
    RoutingDecision decision =
        router.choose(request(customer, tokens), views, ImmutableSet.of(), random, now);
    limiter.release(customer.id());
    return decision;
  }

  /** The ejection of slow replicas, done once for each change of the views. */
  @Benchmark
  public ImmutableList<ReplicaView> eject() {
    return health.apply(views, now);
  }

  private GenerationRequest request(Customer customer, long tokens) {
    return new GenerationRequest(
        new RequestId("request"),
        customer.id(),
        SERVICE,
        "",
        tokens,
        256,
        customer.priority(),
        customer.weight(),
        new PrefixFingerprint(random.nextLong()),
        true,
        new Deadline(now + TimeUnit.MINUTES.toNanos(1)));
  }

  private ReplicaView view(int number) {
    long queued = random.nextLong(50_000);
    ReplicaLoad load =
        new ReplicaLoad(
            450_000,
            random.nextLong(400_000),
            0,
            queued,
            queued / 4,
            queued / 4,
            queued / 4,
            1,
            30_000,
            Duration.ZERO);
    return new ReplicaView(
        new ReplicaId("replica-" + number),
        new Zone("zone-" + number % ZONES),
        new DaemonId("daemon-" + number % ENTRIES),
        load,
        0,
        true);
  }
}
