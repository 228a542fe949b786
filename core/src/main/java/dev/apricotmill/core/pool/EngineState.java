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
  private static final double OVERDUE_MILLIS = 10;

  private final EngineCostModel figures;
  private final Map<RequestId, Part> parts = new HashMap<>();
  private BackendServer server;
  private int answering;
  private int readingParts;
  private long usedTokens;
  private double readUntilMillis;
  private double distrustedUntilMillis;

  EngineState(BackendServer server, EngineCostModel figures) {
    this.server = server;
    this.figures = figures;
  }

  /**
   * A request's share of an engine.
   *
   * @param answers whether the engine writes the answer, rather than only reads a part
   * @param reading whether the prompt is still being read
   * @param tokens memory that the share takes
   * @param pauseGoal the longest pause between events of the answer
   * @param value what the request is worth
   * @param late whether reading that was placed here has made the answer late
   */
  private record Part(
      boolean answers,
      boolean reading,
      long tokens,
      Duration pauseGoal,
      double value,
      boolean late) {

    Part afterReading() {
      return new Part(answers, false, tokens, pauseGoal, value, late);
    }

    Part madeLate() {
      return new Part(answers, reading, tokens, pauseGoal, value, true);
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
      boolean answers,
      double readMillis,
      long tokens,
      Duration pauseGoal,
      double nowMillis) {
    if (readMillis > readRoomMillis(nowMillis)) {
      parts.replaceAll((id, part) -> part.madeLate());
    }
    double value = figures.relativeValue(answers ? tokens : 0);
    parts.put(request, new Part(answers, true, tokens, pauseGoal, value, false));
    recount();
    readUntilMillis = Math.max(readUntilMillis, nowMillis) + readMillis;
  }

  /** Notes that a request's prompt has been read. */
  void endReading(RequestId request, double nowMillis) {
    parts.computeIfPresent(request, (id, part) -> part.answers() ? part.afterReading() : null);
    correctReading(nowMillis);
  }

  void remove(RequestId request, double nowMillis) {
    parts.remove(request);
    correctReading(nowMillis);
  }

  /** Keeps new work away for some time after a failure. */
  void distrust(double untilMillis) {
    distrustedUntilMillis = Math.max(distrustedUntilMillis, untilMillis);
  }

  boolean isTrusted(double nowMillis) {
    return nowMillis >= distrustedUntilMillis;
  }

  /** Returns how long the parts placed here still take to read. */
  double pendingReadMillis(double nowMillis) {
    return Math.max(readUntilMillis - nowMillis, readingParts > 0 ? OVERDUE_MILLIS : 0);
  }

  /** Returns the requests whose answers are or will be written here. */
  int answering() {
    return answering;
  }

  /** Returns the requests that only read a part here. */
  int helping() {
    return parts.size() - answering;
  }

  long usedTokens() {
    return usedTokens;
  }

  /** Returns how long a pass takes in which nothing is read; zero while nothing is written. */
  double passMillis() {
    return answering == 0 ? 0 : figures.decodeIterationMillis(answering, usedTokens);
  }

  /** Returns the worth of the answers here that more reading than there is room for makes late. */
  double valueOnTime() {
    return parts.values().stream()
        .filter(part -> part.answers() && !part.late())
        .mapToDouble(Part::value)
        .sum();
  }

  /** Returns the reading that one pass has room for before an event here would be late. */
  double readRoomMillis(double nowMillis) {
    double tightest = Double.MAX_VALUE;
    for (Part part : parts.values()) {
      if (part.answers() && !part.late()) {
        tightest = Math.min(tightest, (double) part.pauseGoal().toMillis());
      }
    }
    return tightest - passMillis() - pendingReadMillis(nowMillis);
  }

  private void correctReading(double nowMillis) {
    recount();
    if (readingParts == 0) {
      readUntilMillis = nowMillis;
    }
  }

  /** Sums up the parts; placing asks for the sums many times between two changes. */
  private void recount() {
    answering = 0;
    readingParts = 0;
    usedTokens = 0;
    for (Part part : parts.values()) {
      answering += part.answers() ? 1 : 0;
      readingParts += part.reading() ? 1 : 0;
      usedTokens += part.tokens();
    }
  }
}
