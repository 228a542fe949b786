package dev.apricotmill.core.sheet;

import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import java.util.Optional;

/**
 * The values that one line sets for a customer; empty values are left unchanged.
 *
 * @param line the line number in the file
 * @param customer the customer
 * @param weight its weight
 * @param priority its priority
 * @param requestsPerSecond its limit of requests per second
 * @param promptTokensPerSecond its limit of prompt tokens per second
 * @param openRequests its limit of open requests
 */
record CustomerLine(
    int line,
    CustomerId customer,
    Optional<Integer> weight,
    Optional<Priority> priority,
    Optional<Double> requestsPerSecond,
    Optional<Double> promptTokensPerSecond,
    Optional<Integer> openRequests) {

  /** Returns a copy of the customer with the values of this line. */
  Customer applyTo(Customer current) {
    CustomerLimits limits = current.limits();
    return new Customer(
        current.id(),
        current.keyHash(),
        weight.orElse(current.weight()),
        priority.orElse(current.priority()),
        new CustomerLimits(
            requestsPerSecond.orElse(limits.requestsPerSecond()),
            promptTokensPerSecond.orElse(limits.promptTokensPerSecond()),
            openRequests.orElse(limits.openRequests())));
  }
}
