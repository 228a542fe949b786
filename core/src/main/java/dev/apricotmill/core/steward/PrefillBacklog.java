package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.RequestId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Estimates how far an engine has read the prompts that it was given, shorter ones first.
 *
 * <p>The engine's first tokens are exact; between them the estimate advances at the observed rate.
 * Not safe for use by several threads.
 */
final class PrefillBacklog {

  private final ObservedRate rate;
  private final Map<RequestId, Prefill> prefills = new HashMap<>();
  private final TreeMap<Order, Prefill> byOrder = new TreeMap<>();
  private long nextNumber;
  private long advancedAtNanos;
  private long busySinceNanos;

  PrefillBacklog(double initialTokensPerSecond, long horizonTokens) {
    this.rate = new ObservedRate(initialTokensPerSecond, horizonTokens);
  }

  /** Notes a dispatched prompt. */
  void start(RequestId request, long promptTokens, int enginePriority, long nowNanos) {
    advance(nowNanos);
    if (prefills.isEmpty()) {
      busySinceNanos = nowNanos;
    }
    Order order = new Order(enginePriority, nextNumber);
    nextNumber++;
    Prefill prefill = new Prefill(order, promptTokens);
    prefills.put(request, prefill);
    byOrder.put(order, prefill);
  }

  /** Notes that a prompt was read; returns false if it was not being read. */
  boolean finish(RequestId request, long nowNanos) {
    advance(nowNanos);
    Prefill prefill = prefills.get(request);
    if (prefill == null) {
      return false;
    }
    rate.observe((double) prefill.promptTokens, Math.max(0, nowNanos - busySinceNanos));
    busySinceNanos = nowNanos;
    remove(request, prefill);
    return true;
  }

  /** Forgets a prompt that will not be read to its end. */
  void abandon(RequestId request, long nowNanos) {
    advance(nowNanos);
    Prefill prefill = prefills.get(request);
    if (prefill != null) {
      remove(request, prefill);
    }
  }

  /** Returns the tokens still to be read in prompts of the given class. */
  long remainingTokens(LengthClass lengthClass, long nowNanos) {
    advance(nowNanos);
    double sum = 0;
    for (Prefill prefill : byOrder.values()) {
      if (prefill.lengthClass == lengthClass) {
        sum += prefill.remainingTokens;
      }
    }
    return (long) sum;
  }

  /** Returns the tokens still to be read in prompts that go no later than a priority. */
  long remainingTokensUpTo(int enginePriority, long nowNanos) {
    advance(nowNanos);
    double sum = 0;
    for (Prefill prefill : byOrder.headMap(new Order(enginePriority, Long.MAX_VALUE)).values()) {
      sum += prefill.remainingTokens;
    }
    return (long) sum;
  }

  /** Returns how many long prompts are being read. */
  int longPrompts() {
    int count = 0;
    for (Prefill prefill : byOrder.values()) {
      if (prefill.lengthClass.isLong()) {
        count++;
      }
    }
    return count;
  }

  /** Returns the priority of the most urgent long prompt being read, or the lowest there is. */
  int mostUrgentLongPriority() {
    for (Map.Entry<Order, Prefill> entry : byOrder.entrySet()) {
      if (entry.getValue().lengthClass.isLong()) {
        return entry.getKey().enginePriority;
      }
    }
    return Integer.MAX_VALUE;
  }

  /** Returns the observed rate in tokens a second. */
  double tokensPerSecond() {
    return rate.tokensPerSecond();
  }

  private void remove(RequestId request, Prefill prefill) {
    prefills.remove(request);
    byOrder.remove(prefill.order);
  }

  private void advance(long nowNanos) {
    double budget =
        rate.tokensPerSecond()
            * Math.max(0, nowNanos - advancedAtNanos)
            / TimeUnit.SECONDS.toNanos(1);
    advancedAtNanos = nowNanos;
    for (Prefill prefill : byOrder.values()) {
      double prefilledTokens = Math.min(budget, prefill.remainingTokens);
      prefill.remainingTokens -= prefilledTokens;
      budget -= prefilledTokens;
      if (budget <= 0) {
        return;
      }
    }
  }

  private record Order(int enginePriority, long number) implements Comparable<Order> {

    @Override
    public int compareTo(Order other) {
      int byPriority = Integer.compare(enginePriority, other.enginePriority);
      return byPriority != 0 ? byPriority : Long.compare(number, other.number);
    }
  }

  private static final class Prefill {
    private final Order order;
    private final long promptTokens;
    private final LengthClass lengthClass;
    private double remainingTokens;

    Prefill(Order order, long promptTokens) {
      this.order = order;
      this.promptTokens = promptTokens;
      this.lengthClass = LengthClass.of(promptTokens);
      this.remainingTokens = promptTokens;
    }
  }
}
