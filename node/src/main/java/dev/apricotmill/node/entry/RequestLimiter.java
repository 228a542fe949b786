package dev.apricotmill.node.entry;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.fairness.CustomerLimiter;
import dev.apricotmill.core.fairness.LimitDecision;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.node.fleet.FleetView;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Enforces the daemon's limit on open requests and the customers' limits.
 *
 * <p>Each live entry daemon grants a customer an equal share of its limits. Thread-safe.
 */
public final class RequestLimiter {

  private final Timing timing;
  private final Supplier<FleetView> fleet;
  private final OpenRequests openRequests;
  private final CustomerLimiter customerLimiter = new CustomerLimiter();

  /** Creates a limiter that counts the requests of the whole daemon in {@code openRequests}. */
  public RequestLimiter(Timing timing, Supplier<FleetView> fleet, OpenRequests openRequests) {
    this.timing = timing;
    this.fleet = fleet;
    this.openRequests = openRequests;
  }

  /**
   * Admits a request, or returns the refusal; each admitted request must be {@link #release}d.
   *
   * @param customer the customer of the request
   * @param promptTokens the estimated length of the prompt, 0 for a call of a plain service
   */
  public Optional<Outcome.Refused> acquire(Customer customer, long promptTokens) {
    if (!openRequests.tryOpen()) {
      return Optional.of(
          new Outcome.Refused(RefusalReason.OVERLOADED, AdmissionPolicy.RETRY_AFTER));
    }
    int liveEntries = Math.max(1, fleet.get().liveEntryDaemons());
    LimitDecision decision =
        customerLimiter.acquire(customer, promptTokens, liveEntries, timing.nanoTime());
    if (decision instanceof LimitDecision.Limited limited) {
      openRequests.close();
      return Optional.of(new Outcome.Refused(RefusalReason.OVER_LIMIT, limited.retryAfter()));
    }
    return Optional.empty();
  }

  /** Records the end of an admitted request. */
  public void release(CustomerId customer) {
    customerLimiter.release(customer);
    openRequests.close();
  }

  /** Removes customers without requests, so that memory use is bounded by active customers. */
  public void removeIdleCustomers() {
    customerLimiter.evictIdle(timing.nanoTime());
  }
}
