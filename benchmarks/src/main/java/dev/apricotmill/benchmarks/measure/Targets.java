package dev.apricotmill.benchmarks.measure;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.benchmarks.policy.Baseline;
import dev.apricotmill.core.configuration.Objective;
import java.util.List;
import java.util.Locale;

/** Holds the figures against the users' targets, and says what is met and what is not. */
final class Targets {

  private static final double SLOWDOWN = 1.5;
  private static final double IN_TIME_PART = 0.95;
  private static final double GOODPUT_PART = 0.95;
  private static final double MISSED_PART = 0.001;
  private static final double REFUSAL_MILLIS = 50;

  private final List<Measurement.Row> rows;
  private final double load;
  private final double overload;

  Targets(List<Measurement.Row> rows, double load, double overload) {
    this.rows = rows;
    this.load = load;
    this.overload = overload;
  }

  ImmutableList<String> lines() {
    ImmutableList.Builder<String> lines = ImmutableList.builder();
    String shortFirst = name(Objective.SHORT_REQUEST_SLOWDOWN);
    String promptFirst = name(Objective.TIME_TO_FIRST_TOKEN);
    double slowdown = value(shortFirst, load, Column.FIRST_TOKEN_SLOWDOWN);
    lines.add(line("short slowdown, p99 first token", slowdown, slowdown <= SLOWDOWN));
    double answer = value(shortFirst, load, Column.ANSWER_SLOWDOWN);
    lines.add(line("short slowdown, p99 answer", answer, answer <= SLOWDOWN));
    for (Measurement.Row row : rows) {
      if (row.subject().equals(shortFirst)) {
        lines.add(againstBaselines(row));
      }
    }
    double prompt = value(shortFirst, load, Column.PROMPT);
    lines.add(line("under 32k tokens in 1.8 s", prompt, prompt >= IN_TIME_PART));
    double promptLong = value(promptFirst, load, Column.PROMPT_LONG);
    lines.add(line("longer in 1.5 bare reads", promptLong, promptLong >= IN_TIME_PART));
    for (String subject : List.of(shortFirst, promptFirst)) {
      lines.addAll(pastCapacity(subject));
    }
    return lines.build();
  }

  private ImmutableList<String> pastCapacity(String subject) {
    double best = 0;
    double bestTokens = 0;
    for (Measurement.Row row : rows) {
      if (row.subject().equals(subject)) {
        best = Math.max(best, row.mean(Column.GOODPUT));
        bestTokens = Math.max(bestTokens, row.mean(Column.GOODPUT_TOKENS));
      }
    }
    double part = value(subject, overload, Column.GOODPUT) / best;
    double tokens = value(subject, overload, Column.GOODPUT_TOKENS) / bestTokens;
    double missed = value(subject, overload, Column.MISSED);
    double refusal = value(subject, overload, Column.REFUSAL);
    return ImmutableList.of(
        line(subject + ": answers at 1.3 of the best", part, part >= GOODPUT_PART),
        line(subject + ": tokens at 1.3 of the best", tokens, tokens >= GOODPUT_PART),
        line(subject + ": missed of admitted at 1.3", missed, missed <= MISSED_PART),
        line(subject + ": slowest refusal ms at 1.3", refusal, refusal <= REFUSAL_MILLIS));
  }

  private String againstBaselines(Measurement.Row row) {
    double best = Double.MAX_VALUE;
    for (Baseline baseline : Baseline.values()) {
      best = Math.min(best, value(baseline.toString(), row.load(), Column.FIRST_TOKEN_SLOWDOWN));
    }
    double own = row.mean(Column.FIRST_TOKEN_SLOWDOWN);
    String what =
        String.format(Locale.ROOT, "slowdown at load %.1f, best baseline %.2f", row.load(), best);
    return line(what, own, own < best);
  }

  private double value(String subject, double at, Column column) {
    for (Measurement.Row row : rows) {
      if (row.subject().equals(subject) && row.load() == at) {
        return row.mean(column);
      }
    }
    throw new IllegalArgumentException("no row for " + subject);
  }

  private static String name(Objective objective) {
    return new Run.Product(objective, ImmutableSet.of()).name();
  }

  private static String line(String what, double value, boolean met) {
    return String.format(Locale.ROOT, "%-64s %8.4f  %s", what, value, met ? "met" : "NOT MET");
  }
}
