package dev.apricotmill.core.configuration;

import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;

/**
 * A customer and its share of the deployment.
 *
 * @param id the identifier
 * @param keyHash the SHA-256 of the customer's key in lower-case hexadecimal
 * @param weight share relative to that of other customers, 1 to 1000
 * @param priority the priority of its requests
 * @param limits the limits of its requests
 */
public record Customer(
    CustomerId id, String keyHash, int weight, Priority priority, CustomerLimits limits) {}
