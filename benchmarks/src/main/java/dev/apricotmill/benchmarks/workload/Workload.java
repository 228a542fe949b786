package dev.apricotmill.benchmarks.workload;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.benchmarks.fleet.EngineModel;
import dev.apricotmill.benchmarks.fleet.EngineSequence;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Generates bursty arrivals whose prompt lengths follow a bounded Pareto distribution.
 *
 * @param seed the seed of all random choices
 * @param load the load as a part of the fleet's capacity
 * @param replicas the replicas of the fleet
 * @param durationNanos how long requests arrive
 * @param busyCustomerFactor how many times its share customer number 4 sends
 */
public record Workload(
    long seed, double load, int replicas, long durationNanos, double busyCustomerFactor) {

  /** Customers of the deployment. */
  public static final int CUSTOMERS = 10;

  /** The customer that can send more than its share. */
  public static final int BUSY_CUSTOMER = 4;

  private static final double[] CUSTOMER_SHARES = {
    0.25, 0.2, 0.15, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05
  };
  private static final double SHORTEST_TOKENS = 1_000;
  private static final double LONGEST_TOKENS = 1_000_000;
  private static final double TAIL = 0.815;
  private static final double CALM_FACTOR = 0.6;
  private static final double BURST_FACTOR = 1.8;
  private static final double CALM_SECONDS = 4;
  private static final double BURST_SECONDS = 2;
  private static final double MEAN_OUTPUT_TOKENS = 120;
  private static final double OUTPUT_SIGMA = 0.8;
  private static final int LONGEST_OUTPUT_TOKENS = 512;
  private static final int PREFIXES_OF_CUSTOMER = 4;
  private static final double PREFIXED_PART = 0.5;
  private static final long PREFIX_TOKENS = 600;
  private static final double BYTES_OF_TOKEN = 4;
  private static final double BYTES_SIGMA = 0.08;
  private static final long BASE_TIME_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final int READS_IN_TIME_LIMIT = 4;
  private static final int CALIBRATION_SAMPLES = 200_000;

  /** Returns the arrivals in order of time. */
  public ImmutableList<Arrival> arrivals(EngineModel model) {
    double requestsPerSecond = load * capacityPerSecond(model);
    SplittableRandom random = new SplittableRandom(seed);
    ImmutableList.Builder<Arrival> arrivals = ImmutableList.builder();
    double factor = CALM_FACTOR;
    long changesAt = exponentialNanos(random, CALM_SECONDS);
    long now = 0;
    int number = 0;
    double extra = extraFactor();
    while (now < durationNanos) {
      long next = now + exponentialNanos(random, 1 / (requestsPerSecond * factor * extra));
      if (next > changesAt) {
        now = changesAt;
        boolean calm = factor == BURST_FACTOR;
        factor = calm ? CALM_FACTOR : BURST_FACTOR;
        changesAt = now + exponentialNanos(random, calm ? CALM_SECONDS : BURST_SECONDS);
        continue;
      }
      now = next;
      arrivals.add(arrival(random, number, now, model));
      number++;
    }
    return arrivals.build();
  }

  /** Returns the requests a second that the fleet can just serve. */
  public double capacityPerSecond(EngineModel model) {
    SplittableRandom random = new SplittableRandom(1);
    double work = 0;
    for (int sample = 0; sample < CALIBRATION_SAMPLES; sample++) {
      work += model.workSeconds(promptTokens(random), outputTokens(random));
    }
    return replicas * CALIBRATION_SAMPLES / work;
  }

  /** Returns the part of all requests that a customer sends while all send their share. */
  public static double customerShare(int customer) {
    return CUSTOMER_SHARES[customer];
  }

  private Arrival arrival(SplittableRandom random, int number, long now, EngineModel model) {
    int customer = customer(random);
    long tokens = promptTokens(random);
    int output = outputTokens(random);
    double bytes = tokens * BYTES_OF_TOKEN * Math.exp(BYTES_SIGMA * gaussian(random));
    long limit = BASE_TIME_LIMIT_NANOS + READS_IN_TIME_LIMIT * model.bareReadNanos(tokens);
    return new Arrival(
        number,
        now,
        customer,
        tokens,
        (long) bytes,
        output,
        LONGEST_OUTPUT_TOKENS,
        prefix(random, customer),
        limit);
  }

  private static EngineSequence.@Nullable Prefix prefix(SplittableRandom random, int customer) {
    if (random.nextDouble() >= PREFIXED_PART) {
      return null;
    }
    long hash = 1 + (long) customer * PREFIXES_OF_CUSTOMER + random.nextInt(PREFIXES_OF_CUSTOMER);
    return new EngineSequence.Prefix(hash, PREFIX_TOKENS);
  }

  private double extraFactor() {
    double share = CUSTOMER_SHARES[BUSY_CUSTOMER];
    return 1 - share + share * busyCustomerFactor;
  }

  private int customer(SplittableRandom random) {
    double busyShare = CUSTOMER_SHARES[BUSY_CUSTOMER];
    double left = random.nextDouble() * extraFactor();
    for (int customer = 0; customer < CUSTOMERS; customer++) {
      left -=
          customer == BUSY_CUSTOMER ? busyShare * busyCustomerFactor : CUSTOMER_SHARES[customer];
      if (left < 0) {
        return customer;
      }
    }
    return CUSTOMERS - 1;
  }

  private static long promptTokens(SplittableRandom random) {
    double ratio = Math.pow(SHORTEST_TOKENS / LONGEST_TOKENS, TAIL);
    double uniform = random.nextDouble();
    double tokens = SHORTEST_TOKENS / Math.pow(1 - uniform * (1 - ratio), 1 / TAIL);
    return (long) Math.min(LONGEST_TOKENS, tokens);
  }

  private static int outputTokens(SplittableRandom random) {
    double mu = Math.log(MEAN_OUTPUT_TOKENS) - OUTPUT_SIGMA * OUTPUT_SIGMA / 2;
    double tokens = Math.exp(mu + OUTPUT_SIGMA * gaussian(random));
    return (int) Math.max(1, Math.min(LONGEST_OUTPUT_TOKENS, tokens));
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private static long exponentialNanos(SplittableRandom random, double meanSeconds) {
    return (long) (-Math.log(1 - random.nextDouble()) * meanSeconds * TimeUnit.SECONDS.toNanos(1));
  }
}
