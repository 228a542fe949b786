package dev.apricotmill.core.fairness;

import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.request.CustomerId;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds customers to their limits without a central counter: each live entry daemon allows an equal
 * part.
 *
 * <p>The generic cell rate algorithm (ITU-T I.371) keeps one number for each rate. A bucket may
 * fall into debt by one request, so that a prompt of any length passes in the end. Lock-free; a
 * customer without requests takes no memory after a sweep.
 */
public final class CustomerLimiter {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long BURST_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final Duration OPEN_RETRY_AFTER = Duration.ofSeconds(1);

  private final ConcurrentHashMap<CustomerId, Account> accounts = new ConcurrentHashMap<>();

  /**
   * Counts a request against its customer's limits.
   *
   * @param customer the customer
   * @param promptTokens the estimated length of the prompt
   * @param liveEntries the entry daemons that share the customer's requests, at least 1
   * @param nowNanos the monotonic time
   */
  public LimitDecision acquire(
      Customer customer, long promptTokens, int liveEntries, long nowNanos) {
    Account account = accounts.computeIfAbsent(customer.id(), unused -> new Account(nowNanos));
    CustomerLimits limits = customer.limits();
    int openLimit = Math.max(1, (limits.openRequests() + liveEntries - 1) / liveEntries);
    if (account.open.incrementAndGet() > openLimit) {
      account.open.decrementAndGet();
      return new LimitDecision.Limited(OPEN_RETRY_AFTER);
    }
    long requestCost = cost(1, limits.requestsPerSecond() / liveEntries);
    long requestWait = take(account.requests, requestCost, nowNanos);
    if (requestWait > 0) {
      account.open.decrementAndGet();
      return new LimitDecision.Limited(Duration.ofNanos(requestWait));
    }
    long tokenCost = cost(promptTokens, limits.promptTokensPerSecond() / liveEntries);
    long tokenWait = take(account.tokens, tokenCost, nowNanos);
    if (tokenWait > 0) {
      account.requests.addAndGet(-requestCost);
      account.open.decrementAndGet();
      return new LimitDecision.Limited(Duration.ofNanos(tokenWait));
    }
    return new LimitDecision.Allowed();
  }

  /** Notes the end of an allowed request. */
  public void release(CustomerId customer) {
    Account account = accounts.get(customer);
    if (account != null) {
      account.open.decrementAndGet();
    }
  }

  /** Forgets customers that have no open request and owe nothing. */
  public void sweep(long nowNanos) {
    for (CustomerId customer : accounts.keySet()) {
      accounts.computeIfPresent(
          customer, (unused, account) -> account.isIdle(nowNanos) ? null : account);
    }
  }

  /** Returns how many customers are remembered. */
  public int size() {
    return accounts.size();
  }

  private static long cost(long amount, double perSecond) {
    return (long) (amount / Math.max(perSecond, Double.MIN_NORMAL) * SECOND_NANOS);
  }

  /** Takes an amount; returns the time to wait instead, if there is one. */
  private static long take(AtomicLong paidUntil, long costNanos, long nowNanos) {
    while (true) {
      long paid = paidUntil.get();
      long wait = paid - nowNanos - BURST_NANOS;
      if (wait > 0) {
        return wait;
      }
      long start = paid - nowNanos < 0 ? nowNanos : paid;
      if (paidUntil.compareAndSet(paid, start + costNanos)) {
        return 0;
      }
    }
  }

  /** What one customer has used: the times until which its rates are paid. */
  private static final class Account {
    private final AtomicLong requests;
    private final AtomicLong tokens;
    private final AtomicInteger open = new AtomicInteger();

    Account(long nowNanos) {
      requests = new AtomicLong(nowNanos);
      tokens = new AtomicLong(nowNanos);
    }

    boolean isIdle(long nowNanos) {
      return open.get() == 0 && requests.get() - nowNanos <= 0 && tokens.get() - nowNanos <= 0;
    }
  }
}
