package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.RequestId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the prefill progress of an engine on the prompts dispatched to it, shorter ones first.
 *
 * <p>A first token from the engine marks the exact end of a prefill. Between first tokens the
 * estimate advances at the observed rate. Not thread-safe.
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

  /** Records a dispatched prompt. */
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

  /** Records the end of a prefill; returns false if the prompt was not being prefilled. */
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

  /** Removes a prompt whose prefill will not be completed. */
  void abandon(RequestId request, long nowNanos) {
    advance(nowNanos);
    Prefill prefill = prefills.get(request);
    if (prefill != null) {
      remove(request, prefill);
    }
  }

  /** Returns the tokens still to be prefilled in prompts of the given class. */
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

  /** Returns the tokens still to be prefilled in prompts of the given priority or a better one. */
  long remainingTokensUpTo(int enginePriority, long nowNanos) {
    advance(nowNanos);
    double sum = 0;
    for (Prefill prefill : byOrder.headMap(new Order(enginePriority, Long.MAX_VALUE)).values()) {
      sum += prefill.remainingTokens;
    }
    return (long) sum;
  }

  /** Returns the number of long prompts in prefill. */
  int longPrompts() {
    int count = 0;
    for (Prefill prefill : byOrder.values()) {
      if (prefill.lengthClass.isLong()) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns the priority of the most urgent long prompt in prefill, or {@code Integer.MAX_VALUE} if
   * there is none.
   */
  int mostUrgentLongPriority() {
    for (Map.Entry<Order, Prefill> entry : byOrder.entrySet()) {
      if (entry.getValue().lengthClass.isLong()) {
        return entry.getKey().enginePriority;
      }
    }
    return Integer.MAX_VALUE;
  }

  /** Returns the observed prefill rate in tokens per second. */
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
