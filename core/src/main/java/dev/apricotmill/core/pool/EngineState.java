package dev.apricotmill.core.pool;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** What a dispatcher has placed on one engine and not seen end. */
final class EngineState {

  /** What a part counts for that should have been read by now but has not ended. */
  private static final double OVERDUE_PREFILL_MILLIS = 10;

  private final EngineCostModel costModel;
  private final Map<RequestId, Part> parts = new HashMap<>();
  private BackendServer server;
  private int generationCount;
  private int prefillingParts;
  private long usedTokens;
  private double prefillEndMillis;
  private double coolDownUntilMillis;

  EngineState(BackendServer server, EngineCostModel costModel) {
    this.server = server;
    this.costModel = costModel;
  }

  /**
   * A request's share of an engine.
   *
   * @param generates whether the engine writes the answer, rather than only reads a part
   * @param prefilling whether the prompt is still being read
   * @param tokens memory that the share takes
   * @param eventGapTarget the longest pause between events of the answer
   * @param value what the request is worth
   * @param late whether reading that was placed here has made the answer late
   */
  private record Part(
      boolean generates,
      boolean prefilling,
      long tokens,
      Duration eventGapTarget,
      double value,
      boolean late) {

    Part afterPrefill() {
      return new Part(generates, false, tokens, eventGapTarget, value, late);
    }

    Part asLate() {
      return new Part(generates, prefilling, tokens, eventGapTarget, value, true);
    }
  }

  BackendServer server() {
    return server;
  }

  void update(BackendServer newer) {
    server = newer;
  }

  void add(
      RequestId request,
      boolean generates,
      double prefillMillis,
      long tokens,
      Duration eventGapTarget,
      double nowMillis) {
    if (prefillMillis > prefillBudgetMillis(nowMillis)) {
      parts.replaceAll((id, part) -> part.asLate());
    }
    double value = costModel.relativeValue(generates ? tokens : 0);
    parts.put(request, new Part(generates, true, tokens, eventGapTarget, value, false));
    recomputeTotals();
    prefillEndMillis = Math.max(prefillEndMillis, nowMillis) + prefillMillis;
  }

  /** Notes that a request's prompt has been read. */
  void endPrefill(RequestId request, double nowMillis) {
    parts.computeIfPresent(request, (id, part) -> part.generates() ? part.afterPrefill() : null);
    updatePrefillEnd(nowMillis);
  }

  void remove(RequestId request, double nowMillis) {
    parts.remove(request);
    updatePrefillEnd(nowMillis);
  }

  /** Keeps new work away for some time after a failure. */
  void startCoolDown(double untilMillis) {
    coolDownUntilMillis = Math.max(coolDownUntilMillis, untilMillis);
  }

  boolean hasCooledDown(double nowMillis) {
    return nowMillis >= coolDownUntilMillis;
  }

  /** Returns how long the parts placed here still take to read. */
  double pendingPrefillMillis(double nowMillis) {
    return Math.max(prefillEndMillis - nowMillis, prefillingParts > 0 ? OVERDUE_PREFILL_MILLIS : 0);
  }

  /** Returns the requests whose answers are or will be written here. */
  int generationCount() {
    return generationCount;
  }

  /** Returns the requests that only read a part here. */
  int prefillOnlyCount() {
    return parts.size() - generationCount;
  }

  long usedTokens() {
    return usedTokens;
  }

  /** Returns how long a pass takes in which nothing is read; zero while nothing is written. */
  double decodeIterationMillis() {
    return generationCount == 0 ? 0 : costModel.decodeIterationMillis(generationCount, usedTokens);
  }

  /** Returns the worth of the answers here that more reading than there is room for makes late. */
  double onTimeValue() {
    return parts.values().stream()
        .filter(part -> part.generates() && !part.late())
        .mapToDouble(Part::value)
        .sum();
  }

  /** Returns the reading that one pass has room for before an event here would be late. */
  double prefillBudgetMillis(double nowMillis) {
    double tightestGapMillis = Double.MAX_VALUE;
    for (Part part : parts.values()) {
      if (part.generates() && !part.late()) {
        tightestGapMillis = Math.min(tightestGapMillis, (double) part.eventGapTarget().toMillis());
      }
    }
    return tightestGapMillis - decodeIterationMillis() - pendingPrefillMillis(nowMillis);
  }

  private void updatePrefillEnd(double nowMillis) {
    recomputeTotals();
    if (prefillingParts == 0) {
      prefillEndMillis = nowMillis;
    }
  }

  /** Sums up the parts; placing asks for the sums many times between two changes. */
  private void recomputeTotals() {
    generationCount = 0;
    prefillingParts = 0;
    usedTokens = 0;
    for (Part part : parts.values()) {
      generationCount += part.generates() ? 1 : 0;
      prefillingParts += part.prefilling() ? 1 : 0;
      usedTokens += part.tokens();
    }
  }
}
