package dev.apricotmill.benchmarks.measure;

import java.util.Locale;

/** One column of the table, with the target that it is held against. */
enum Column {
  FIRST_TOKEN_SLOWDOWN("slow TTFT", "%.2f"),
  ANSWER_SLOWDOWN("slow ans.", "%.2f"),
  SHORT("short p99 s", "%.3f"),
  MEDIUM("medium p99 s", "%.2f"),
  LONG("long p95 s", "%.1f"),
  HUGE("huge p95 s", "%.1f"),
  PROMPT("<32k in 1.8 s", "%.3f"),
  PROMPT_LONG(">32k in 1.5x", "%.3f"),
  HUGE_ANSWERED("huge answered", "%.3f"),
  GOODPUT("answers/s", "%.1f"),
  GOODPUT_TOKENS("ktokens/s", "%.0f"),
  REFUSED("refused", "%.3f"),
  MISSED("missed/adm.", "%.4f"),
  BROKEN("broken", "%.4f"),
  PROMPT_REFUSALS("refused in 50 ms", "%.3f"),
  REFUSAL("refusal ms", "%.0f");

  private static final int WIDTH = 17;

  private final String title;
  private final String format;

  Column(String title, String format) {
    this.title = title;
    this.format = format;
  }

  String header() {
    return String.format(Locale.ROOT, "%" + WIDTH + "s", title);
  }

  /** Returns the mean over the seeds, with half of the range behind it. */
  String cell(Iterable<Figures> seeds) {
    Figures.Spread spread = Figures.spread(seeds, this::of);
    String mean = String.format(Locale.ROOT, format, spread.mean());
    String half = String.format(Locale.ROOT, format, (spread.most() - spread.least()) / 2);
    return String.format(Locale.ROOT, "%" + WIDTH + "s", mean + " ±" + half);
  }

  /** Returns the column's figure. */
  double of(Figures figures) {
    return switch (this) {
      case FIRST_TOKEN_SLOWDOWN -> figures.firstTokenSlowdown();
      case ANSWER_SLOWDOWN -> figures.answerSlowdown();
      case SHORT -> figures.shortSeconds();
      case MEDIUM -> figures.mediumSeconds();
      case LONG -> figures.longSeconds();
      case HUGE -> figures.hugeSeconds();
      case PROMPT -> figures.promptPart();
      case PROMPT_LONG -> figures.promptLongPart();
      case HUGE_ANSWERED -> figures.hugeAnsweredPart();
      case GOODPUT -> figures.goodput();
      case GOODPUT_TOKENS -> figures.goodputTokens() / 1_000;
      case REFUSED -> figures.refusedPart();
      case MISSED -> figures.missedPart();
      case BROKEN -> figures.brokenPart();
      case PROMPT_REFUSALS -> figures.promptRefusals();
      case REFUSAL -> figures.slowestRefusalMillis();
    };
  }
}
