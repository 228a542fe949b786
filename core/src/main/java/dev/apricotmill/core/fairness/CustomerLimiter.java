package dev.apricotmill.core.fairness;

import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.request.CustomerId;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Enforces customers' limits without a central counter: each live entry daemon allows an equal
 * share.
 *
 * <p>A rate may go into debt by one request, so that a prompt of any length eventually passes.
 * Lock-free. Customers without requests take no memory after {@link #evictIdle}.
 */
public final class CustomerLimiter {

  private static final Duration BURST = Duration.ofSeconds(10);
  private static final Duration OPEN_LIMIT_RETRY_AFTER = Duration.ofSeconds(1);

  private final ConcurrentHashMap<CustomerId, CustomerUsage> usages = new ConcurrentHashMap<>();

  /**
   * Counts a request against its customer's limits.
   *
   * @param customer the customer
   * @param promptTokens the estimated length of the prompt
   * @param entryDaemons the number of entry daemons that share the customer's requests; at least 1
   * @param nowNanos the monotonic time
   */
  public LimitDecision acquire(
      Customer customer, long promptTokens, int entryDaemons, long nowNanos) {
    CustomerUsage usage =
        usages.computeIfAbsent(customer.id(), unused -> new CustomerUsage(nowNanos));
    CustomerLimits limits = customer.limits();
    int openLimit = Math.max(1, (limits.openRequests() + entryDaemons - 1) / entryDaemons);
    if (usage.openRequests.incrementAndGet() > openLimit) {
      usage.openRequests.decrementAndGet();
      return new LimitDecision.Limited(OPEN_LIMIT_RETRY_AFTER);
    }
    long requestCost = GcraLimiter.cost(1, limits.requestsPerSecond() / entryDaemons);
    long requestWait = usage.requests.take(requestCost, nowNanos);
    if (requestWait > 0) {
      usage.openRequests.decrementAndGet();
      return new LimitDecision.Limited(Duration.ofNanos(requestWait));
    }
    long tokenCost = GcraLimiter.cost(promptTokens, limits.promptTokensPerSecond() / entryDaemons);
    long tokenWait = usage.tokens.take(tokenCost, nowNanos);
    if (tokenWait > 0) {
      usage.requests.refund(requestCost);
      usage.openRequests.decrementAndGet();
      return new LimitDecision.Limited(Duration.ofNanos(tokenWait));
    }
    return new LimitDecision.Allowed();
  }

  /** Records the end of an allowed request. */
  public void release(CustomerId customer) {
    CustomerUsage usage = usages.get(customer);
    if (usage != null) {
      usage.openRequests.decrementAndGet();
    }
  }

  /** Removes customers that have no open request and no debt. */
  public void evictIdle(long nowNanos) {
    for (CustomerId customer : usages.keySet()) {
      usages.computeIfPresent(customer, (unused, usage) -> usage.isIdle(nowNanos) ? null : usage);
    }
  }

  /** Returns the number of tracked customers. */
  public int size() {
    return usages.size();
  }

  /** The rates and open requests of one customer. */
  private static final class CustomerUsage {
    private final GcraLimiter requests;
    private final GcraLimiter tokens;
    private final AtomicInteger openRequests = new AtomicInteger();

    CustomerUsage(long nowNanos) {
      requests = new GcraLimiter(BURST, nowNanos);
      tokens = new GcraLimiter(BURST, nowNanos);
    }

    boolean isIdle(long nowNanos) {
      return openRequests.get() == 0 && requests.isIdle(nowNanos) && tokens.isIdle(nowNanos);
    }
  }
}
