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
 * Lets admitted requests in while the daemon has room and their customer is within its limits.
 *
 * <p>Each live daemon allows a customer an equal part of its limits. Safe for use by several
 * threads.
 */
public final class RequestLimiter {

  private final Timing timing;
  private final Supplier<FleetView> fleet;
  private final OpenRequests openRequests;
  private final CustomerLimiter customerLimiter = new CustomerLimiter();

  /** Creates a gate that counts in {@code open}. */
  public RequestLimiter(Timing timing, Supplier<FleetView> fleet, OpenRequests openRequests) {
    this.timing = timing;
    this.fleet = fleet;
    this.openRequests = openRequests;
  }

  /**
   * Lets a request in, or says why not; whoever was let in must {@link #release}.
   *
   * @param customer who asks
   * @param promptTokens the estimated length of the prompt, zero for a call of a plain service
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

  /** Notes the end of a request that was let in. */
  public void release(CustomerId customer) {
    customerLimiter.release(customer);
    openRequests.close();
  }

  /** Forgets customers without requests, so that memory does not grow with all customers. */
  public void removeIdleCustomers() {
    customerLimiter.sweep(timing.nanoTime());
  }
}
