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
public final class RequestGate {

  private final Timing timing;
  private final Supplier<FleetView> fleet;
  private final OpenRequests open;
  private final CustomerLimiter limiter = new CustomerLimiter();

  /** Creates a gate that counts in {@code open}. */
  public RequestGate(Timing timing, Supplier<FleetView> fleet, OpenRequests open) {
    this.timing = timing;
    this.fleet = fleet;
    this.open = open;
  }

  /**
   * Lets a request in, or says why not; whoever was let in must {@link #leave}.
   *
   * @param customer who asks
   * @param promptTokens the estimated length of the prompt, zero for a call of a plain service
   */
  public Optional<Outcome.Refused> enter(Customer customer, long promptTokens) {
    if (!open.tryOpen()) {
      return Optional.of(
          new Outcome.Refused(RefusalReason.OVERLOADED, AdmissionPolicy.RETRY_AFTER));
    }
    int liveEntries = Math.max(1, fleet.get().liveEntries());
    LimitDecision decision =
        limiter.acquire(customer, promptTokens, liveEntries, timing.nanoTime());
    if (decision instanceof LimitDecision.Limited limited) {
      open.close();
      return Optional.of(new Outcome.Refused(RefusalReason.OVER_LIMIT, limited.retryAfter()));
    }
    return Optional.empty();
  }

  /** Notes the end of a request that was let in. */
  public void leave(CustomerId customer) {
    limiter.release(customer);
    open.close();
  }

  /** Forgets customers without requests, so that memory does not grow with all customers. */
  public void sweep() {
    limiter.evictIdle(timing.nanoTime());
  }
}
