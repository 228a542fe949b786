package dev.apricotmill.core.pool;

import dev.apricotmill.core.relay.EngineCostModel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Model of an engine in virtual time: a pass reads up to 2,048 prompt tokens in each of its steps,
 * parts of other engines' prompts first, and has 48 steps if a request decodes and else one.
 */
final class ReplayedEngine {

  private static final int TOKENS_PER_STEP = 2_048;

  private final EngineCostModel costModel;
  private final ReplayClock clock;
  private final Deque<Read> helperReads = new ArrayDeque<>();
  private final Deque<Read> ownReads = new ArrayDeque<>();
  private final List<Decoding> decoding = new ArrayList<>();
  private long usedTokens;
  private boolean running;

  ReplayedEngine(EngineCostModel costModel, ReplayClock clock) {
    this.costModel = costModel;
    this.clock = clock;
  }

  /** A part of a prompt that waits to be read. */
  private static final class Read {
    private final double millisPerToken;
    private final Runnable onRead;
    private double tokens;

    Read(double tokens, double millis, Runnable onRead) {
      this.tokens = tokens;
      millisPerToken = millis / tokens;
      this.onRead = onRead;
    }
  }

  /** A response that is being generated; receives the time of each event. */
  private static final class Decoding {
    private final long contextTokens;
    private final Consumer<Double> onEvent;
    private int eventsLeft;

    Decoding(long contextTokens, int eventsLeft, Consumer<Double> onEvent) {
      this.contextTokens = contextTokens;
      this.eventsLeft = eventsLeft;
      this.onEvent = onEvent;
    }
  }

  /** Takes memory until it is released; returns false if the engine has not enough. */
  boolean tryTake(long tokens) {
    if (usedTokens + tokens > costModel.memoryTokens()) {
      return false;
    }
    usedTokens += tokens;
    return true;
  }

  void release(long tokens) {
    usedTokens -= tokens;
  }

  /** Reads a part; {@code helper} tells that another engine generates the response. */
  void read(double tokens, double millis, boolean helper, Runnable onRead) {
    (helper ? helperReads : ownReads).add(new Read(tokens, millis, onRead));
    start();
  }

  /** Generates a response, from the pass that runs now if {@code onRead} has just been called. */
  void decode(long contextTokens, int events, Consumer<Double> onEvent) {
    decoding.add(new Decoding(contextTokens, events, onEvent));
    start();
  }

  private void start() {
    if (!running && !(helperReads.isEmpty() && ownReads.isEmpty() && decoding.isEmpty())) {
      running = true;
      pass();
    }
  }

  private void pass() {
    int steps = decoding.isEmpty() ? 1 : costModel.stepsPerIteration();
    double budget = (double) TOKENS_PER_STEP * steps;
    double millis = decoding.isEmpty() ? costModel.stepMillis() : decodeMillis();
    List<Read> finished = new ArrayList<>();
    @Nullable Read next = next();
    while (next != null && budget > 0) {
      double tokens = Math.min(budget, next.tokens);
      next.tokens -= tokens;
      budget -= tokens;
      millis += tokens * next.millisPerToken;
      if (next.tokens <= 0) {
        finished.add(next);
        (next == helperReads.peek() ? helperReads : ownReads).remove();
      }
      next = next();
    }
    List<Decoding> generated = List.copyOf(decoding);
    clock.after(millis, () -> endPass(finished, generated));
  }

  private @Nullable Read next() {
    return helperReads.isEmpty() ? ownReads.peek() : helperReads.peek();
  }

  private double decodeMillis() {
    long context = decoding.stream().mapToLong(response -> response.contextTokens).sum();
    return costModel.decodeIterationMillis(decoding.size(), context);
  }

  private void endPass(List<Read> finished, List<Decoding> generated) {
    finished.forEach(read -> read.onRead.run());
    for (Decoding response : generated) {
      response.eventsLeft--;
      response.onEvent.accept(clock.nowMillis());
    }
    decoding.removeIf(response -> response.eventsLeft == 0);
    running = false;
    start();
  }
}
