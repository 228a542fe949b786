package dev.apricotmill.core.relay;

import dev.apricotmill.core.request.ServiceName;

/**
 * A service and its share of a route's requests.
 *
 * @param service the service
 * @param weight the share relative to the other weights of the route; not negative
 */
public record WeightedService(ServiceName service, int weight) {}
