package dev.apricotmill.benchmarks.measure;

import dev.apricotmill.core.length.LengthClass;
import java.util.function.ToDoubleFunction;

/**
 * The figures of one policy at one load and seed.
 *
 * @param firstTokenSlowdown p99 of short prompts' time to first token against p99 alone
 * @param answerSlowdown p99 of each short request's answer time against itself alone
 * @param shortSeconds p99 time to first token of short prompts
 * @param mediumSeconds p99 time to first token of medium prompts
 * @param longSeconds p95 time to first token of long prompts
 * @param hugeSeconds p95 time to first token of huge prompts
 * @param promptPart part of prompts under 32,000 tokens with a first token in 1.8 s
 * @param promptLongPart part of longer prompts within 1.5 bare reading times
 * @param goodput answers in time a second
 * @param goodputTokens prompt tokens a second of answers in time
 * @param refusedPart part that was refused
 * @param hugeAnsweredPart part of huge prompts that was answered
 * @param missedPart part of the admitted that missed their time
 * @param brokenPart part that a fault broke
 * @param openPart part that never ended
 * @param promptRefusals part of the refusals that came in 50 ms
 * @param slowestRefusalMillis the slowest refusal
 * @param othersSeconds p99 time to first token of customers other than the busy one
 */
public record Figures(
    double firstTokenSlowdown,
    double answerSlowdown,
    double shortSeconds,
    double mediumSeconds,
    double longSeconds,
    double hugeSeconds,
    double promptPart,
    double promptLongPart,
    double goodput,
    double goodputTokens,
    double refusedPart,
    double hugeAnsweredPart,
    double missedPart,
    double brokenPart,
    double openPart,
    double promptRefusals,
    double slowestRefusalMillis,
    double othersSeconds) {

  private static final double LAST_PERCENT = 99;
  private static final double LAST_TWENTIETH = 95;

  /** Gathers the figures of a run and of the same short prompts alone. */
  static Figures of(Run.Result all, Run.Result alone, int busyCustomer) {
    Summary mixed = new Summary(all);
    Summary shortAlone = new Summary(alone);
    double shortSeconds = mixed.firstTokenSeconds(LengthClass.SHORT, LAST_PERCENT);
    return new Figures(
        shortSeconds / shortAlone.firstTokenSeconds(LengthClass.SHORT, LAST_PERCENT),
        mixed.answerSlowdown(alone, LAST_PERCENT),
        shortSeconds,
        mixed.firstTokenSeconds(LengthClass.MEDIUM, LAST_PERCENT),
        mixed.firstTokenSeconds(LengthClass.LONG, LAST_TWENTIETH),
        mixed.firstTokenSeconds(LengthClass.HUGE, LAST_TWENTIETH),
        mixed.promptFirstTokens(),
        mixed.promptLongFirstTokens(),
        mixed.goodput(),
        mixed.goodputTokens(),
        mixed.endedPart(Ending.REFUSED),
        mixed.endedPart(LengthClass.HUGE, Ending.ANSWERED),
        mixed.missedOfAdmitted(),
        mixed.endedPart(Ending.BROKEN),
        mixed.endedPart(Ending.OPEN),
        mixed.promptRefusals(),
        mixed.slowestRefusalMillis(),
        mixed.customerFirstTokenSeconds(customer -> customer != busyCustomer, LAST_PERCENT));
  }

  /** Returns one figure of several seeds: mean, least and most. */
  static Spread spread(Iterable<Figures> seeds, ToDoubleFunction<Figures> figure) {
    double sum = 0;
    double least = Double.MAX_VALUE;
    double most = -Double.MAX_VALUE;
    int count = 0;
    for (Figures figures : seeds) {
      double value = figure.applyAsDouble(figures);
      sum += value;
      least = Math.min(least, value);
      most = Math.max(most, value);
      count++;
    }
    return new Spread(sum / count, least, most);
  }

  /**
   * One figure over several seeds.
   *
   * @param mean the mean
   * @param least the least
   * @param most the most
   */
  record Spread(double mean, double least, double most) {}
}
