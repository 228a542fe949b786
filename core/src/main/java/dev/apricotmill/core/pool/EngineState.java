package dev.apricotmill.core.pool;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests that were placed on one engine and have not ended, as a dispatcher knows them. */
final class EngineState {

  /** The remaining prefill that is assumed for a part that is past its predicted end. */
  private static final double OVERDUE_PREFILL_MILLIS = 10;

  private final EngineCostModel costModel;
  private final boolean keepsReservedMemory;
  private final Map<RequestId, Part> parts = new HashMap<>();
  private BackendServer server;
  private int position;
  private int generationCount;
  private int prefillingParts;
  private int prefillOnlyCount;
  private long usedTokens;
  private final List<Double> awaitedDueMillis = new ArrayList<>();
  private double onTimeValue;
  private double tightestGapMillis = Double.MAX_VALUE;
  private double prefillEndMillis;
  private double coolDownUntilMillis;

  /**
   * Creates the state of an engine without work.
   *
   * @param keepsReservedMemory whether reserved memory counts as used until its request ends, as it
   *     is at the engine; otherwise only until the first event
   */
  EngineState(BackendServer server, EngineCostModel costModel, boolean keepsReservedMemory) {
    this.server = server;
    this.costModel = costModel;
    this.keepsReservedMemory = keepsReservedMemory;
  }

  /**
   * A request's part on the engine.
   *
   * @param generates whether the engine generates the response, rather than only prefills a part
   * @param prefilling whether the prompt is still being prefilled
   * @param tokens KV memory of the part in tokens
   * @param eventGapTarget the longest gap between events of the response that is on time
   * @param dueMillis when the first event is due
   * @param value the request's value, see {@link EngineCostModel#relativeValue}
   * @param late whether a prefill that was placed here later has made the response late
   */
  private record Part(
      boolean generates,
      boolean prefilling,
      long tokens,
      Duration eventGapTarget,
      double dueMillis,
      double value,
      boolean late) {

    Part afterPrefill() {
      return new Part(generates, false, tokens, eventGapTarget, dueMillis, value, late);
    }

    Part asLate() {
      return new Part(generates, prefilling, tokens, eventGapTarget, dueMillis, value, true);
    }
  }

  /** Returns the place of the engine in the order of the pool. */
  int position() {
    return position;
  }

  void moveTo(int newPosition) {
    position = newPosition;
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
      double dueMillis,
      double nowMillis) {
    if (prefillMillis > prefillBudgetMillis(nowMillis)) {
      parts.replaceAll((id, part) -> part.asLate());
    }
    double value = costModel.relativeValue(generates ? tokens : 0);
    parts.put(request, new Part(generates, true, tokens, eventGapTarget, dueMillis, value, false));
    recomputeTotals();
    prefillEndMillis = Math.max(prefillEndMillis, nowMillis) + prefillMillis;
  }

  /** Records the end of a request's prefill. */
  void endPrefill(RequestId request, double nowMillis) {
    parts.computeIfPresent(
        request,
        (id, part) ->
            part.generates() || (keepsReservedMemory && part.tokens() > 0)
                ? part.afterPrefill()
                : null);
    updatePrefillEnd(nowMillis);
  }

  void remove(RequestId request, double nowMillis) {
    parts.remove(request);
    updatePrefillEnd(nowMillis);
  }

  /** Keeps new work away from the engine after a failure. */
  void startCoolDown(double untilMillis) {
    coolDownUntilMillis = Math.max(coolDownUntilMillis, untilMillis);
  }

  /** Returns whether the engine is not in cool-down. */
  boolean hasCooledDown(double nowMillis) {
    return nowMillis >= coolDownUntilMillis;
  }

  /** Returns the predicted remaining prefill time of the parts placed here. */
  double pendingPrefillMillis(double nowMillis) {
    return Math.max(prefillEndMillis - nowMillis, prefillingParts > 0 ? OVERDUE_PREFILL_MILLIS : 0);
  }

  /** Returns the number of requests whose responses are or will be generated here. */
  int generationCount() {
    return generationCount;
  }

  /** Returns the number of requests that only prefill a part here. */
  int prefillOnlyCount() {
    return prefillOnlyCount;
  }

  long usedTokens() {
    return usedTokens;
  }

  /** Returns the time of an iteration without prefill, or 0 if the engine has nothing to decode. */
  double decodeIterationMillis() {
    return generationCount == 0 ? 0 : costModel.decodeIterationMillis(generationCount, usedTokens);
  }

  /** Returns the total value of the responses here that are still on time. */
  double onTimeValue() {
    return onTimeValue;
  }

  /** Returns the prefill time that fits in one iteration before an event here would be late. */
  double prefillBudgetMillis(double nowMillis) {
    return tightestGapMillis - decodeIterationMillis() - pendingPrefillMillis(nowMillis);
  }

  /**
   * Returns the prefill time that may be added before a first event here is late. A part that is
   * read for another engine comes before the prompts that wait here, and any part lengthens the
   * iteration in which they are read.
   */
  double firstEventBudgetMillis(double nowMillis) {
    double readyMillis = nowMillis + pendingPrefillMillis(nowMillis) + 2 * decodeIterationMillis();
    double budgetMillis = Double.MAX_VALUE;
    for (double dueMillis : awaitedDueMillis) {
      if (dueMillis > readyMillis) {
        budgetMillis = Math.min(budgetMillis, dueMillis - readyMillis);
      }
    }
    return budgetMillis;
  }

  private void updatePrefillEnd(double nowMillis) {
    recomputeTotals();
    if (prefillingParts == 0) {
      prefillEndMillis = nowMillis;
    }
  }

  /** Recomputes the totals, which a placement uses many times between two changes. */
  private void recomputeTotals() {
    generationCount = 0;
    prefillingParts = 0;
    prefillOnlyCount = 0;
    usedTokens = 0;
    onTimeValue = 0;
    awaitedDueMillis.clear();
    tightestGapMillis = Double.MAX_VALUE;
    for (Part part : parts.values()) {
      generationCount += part.generates() ? 1 : 0;
      prefillingParts += part.prefilling() ? 1 : 0;
      prefillOnlyCount += part.prefilling() && !part.generates() ? 1 : 0;
      usedTokens += part.tokens();
      if (part.generates() && part.prefilling()) {
        awaitedDueMillis.add(part.dueMillis());
      }
      if (part.generates() && !part.late()) {
        onTimeValue += part.value();
        tightestGapMillis = Math.min(tightestGapMillis, (double) part.eventGapTarget().toMillis());
      }
    }
  }
}
