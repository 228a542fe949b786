package dev.apricotmill.benchmarks.measure;

import dev.apricotmill.benchmarks.fleet.EngineModel;
import dev.apricotmill.core.length.LengthClass;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** The figures of one run, those of its warm-up left out. */
public final class Summary {

  private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long FIRST_TOKEN_TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);
  private static final long REFUSAL_TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final double LONG_READ_FACTOR = 1.5;
  private static final int DIGITS = 3;

  private final Run.Result result;
  private final EngineModel model = EngineModel.STANDARD;
  private final Map<LengthClass, Histogram> firstTokens = new EnumMap<>(LengthClass.class);

  /** Gathers the figures of a run. */
  public Summary(Run.Result result) {
    this.result = result;
    for (LengthClass lengthClass : LengthClass.values()) {
      firstTokens.put(lengthClass, new Histogram(DIGITS));
    }
    for (Recorder.Sample sample : result.recorder().samples()) {
      if (counts(sample) && sample.firstTokenNanos() >= 0) {
        histogram(sample.arrival().lengthClass())
            .recordValue(TimeUnit.NANOSECONDS.toMicros(sample.firstTokenNanos()));
      }
    }
  }

  /** Returns a percentile of the time to first token of a class in seconds. */
  public double firstTokenSeconds(LengthClass lengthClass, double percentile) {
    double micros = histogram(lengthClass).getValueAtPercentile(percentile);
    return micros / TimeUnit.SECONDS.toMicros(1);
  }

  /** Returns the part of all prompts up to 32,000 tokens with their first token in 1.8 s. */
  public double promptFirstTokens() {
    return part(
        sample -> !sample.arrival().lengthClass().isLong(),
        sample ->
            sample.firstTokenNanos() >= 0 && sample.firstTokenNanos() <= FIRST_TOKEN_TARGET_NANOS);
  }

  /** Returns the part of all longer prompts with their first token in 1.5 bare reading times. */
  public double promptLongFirstTokens() {
    return part(
        sample -> sample.arrival().lengthClass().isLong(),
        sample ->
            sample.firstTokenNanos() >= 0
                && sample.firstTokenNanos() <= LONG_READ_FACTOR * bareNanos(sample));
  }

  /** Returns the part of all requests of a class that ended in a way. */
  public double endedPart(LengthClass lengthClass, Ending ending) {
    return part(
        sample -> sample.arrival().lengthClass() == lengthClass,
        sample -> sample.ending() == ending);
  }

  /** Returns the part of all requests that ended in a way. */
  public double endedPart(Ending ending) {
    return part(sample -> true, sample -> sample.ending() == ending);
  }

  /** Returns the part of the admitted requests that missed their time. */
  public double missedOfAdmitted() {
    return part(Recorder.Sample::admitted, sample -> sample.ending() == Ending.MISSED);
  }

  /** Returns the answers in time a second. */
  public double goodput() {
    return count(sample -> sample.ending() == Ending.ANSWERED) / measuredSeconds();
  }

  /** Returns the prompt tokens a second of answers in time. */
  public double goodputTokens() {
    double tokens = 0;
    for (Recorder.Sample sample : result.recorder().samples()) {
      if (counts(sample) && sample.ending() == Ending.ANSWERED) {
        tokens += sample.arrival().promptTokens();
      }
    }
    return tokens / measuredSeconds();
  }

  /** Returns the part of all refusals that came in 50 milliseconds. */
  public double promptRefusals() {
    return part(
        sample -> sample.ending() == Ending.REFUSED,
        sample -> sample.endNanos() <= REFUSAL_TARGET_NANOS);
  }

  /** Returns the longest time in which a request was refused, in milliseconds. */
  public double slowestRefusalMillis() {
    long slowest = 0;
    for (Recorder.Sample sample : result.recorder().samples()) {
      if (counts(sample) && sample.ending() == Ending.REFUSED) {
        slowest = Math.max(slowest, sample.endNanos());
      }
    }
    return (double) slowest / TimeUnit.MILLISECONDS.toNanos(1);
  }

  /** Returns a percentile of the answer time of each short request against itself alone. */
  public double answerSlowdown(Run.Result alone, double percentile) {
    Histogram ratios = new Histogram(DIGITS);
    for (Recorder.Sample sample : result.recorder().samples()) {
      Recorder.Sample other = alone.recorder().samples().get(sample.arrival().number());
      if (counts(sample) && answered(sample) && answered(other)) {
        ratios.recordValue(Math.round(1_000.0 * sample.endNanos() / other.endNanos()));
      }
    }
    return ratios.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Returns a percentile of a customer's short prompts' time to first token in seconds. */
  public double customerFirstTokenSeconds(Predicate<Integer> customers, double percentile) {
    Histogram times = new Histogram(DIGITS);
    for (Recorder.Sample sample : result.recorder().samples()) {
      boolean isShort = sample.arrival().lengthClass() == LengthClass.SHORT;
      if (counts(sample)
          && isShort
          && sample.firstTokenNanos() >= 0
          && customers.test(sample.arrival().customer())) {
        times.recordValue(TimeUnit.NANOSECONDS.toMicros(sample.firstTokenNanos()));
      }
    }
    return (double) times.getValueAtPercentile(percentile) / TimeUnit.SECONDS.toMicros(1);
  }

  private long bareNanos(Recorder.Sample sample) {
    long tokens = sample.arrival().promptTokens();
    long members = tokens / model.memoryTokens() + 1;
    return model.bareReadNanos(tokens / members);
  }

  private double part(Predicate<Recorder.Sample> of, Predicate<Recorder.Sample> which) {
    double all = count(of);
    return all == 0 ? 0 : count(of.and(which)) / all;
  }

  private double count(Predicate<Recorder.Sample> which) {
    return result.recorder().samples().stream().filter(this::counts).filter(which).count();
  }

  private double measuredSeconds() {
    long nanos = result.run().workload().durationNanos() - WARM_UP_NANOS;
    return (double) nanos / TimeUnit.SECONDS.toNanos(1);
  }

  private boolean counts(Recorder.Sample sample) {
    return sample.arrival().atNanos() >= WARM_UP_NANOS;
  }

  private static boolean answered(Recorder.Sample sample) {
    return sample.ending() == Ending.ANSWERED && sample.endNanos() > 0;
  }

  private Histogram histogram(LengthClass lengthClass) {
    return firstTokens.computeIfAbsent(lengthClass, unused -> new Histogram(DIGITS));
  }
}
