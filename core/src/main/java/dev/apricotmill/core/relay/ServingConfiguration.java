package dev.apricotmill.core.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;

/**
 * One version of the operators' configuration.
 *
 * @param version the operators' number of it; grows with each change
 * @param routes the routes
 * @param services the services by name
 * @param customers the customers by their keys
 * @param keysRequired whether a request to a route that is not open needs a customer's key
 * @param limits what callers may send
 */
public record ServingConfiguration(
    long version,
    RouteTable routes,
    ImmutableMap<ServiceName, ServiceProfile> services,
    ImmutableMap<String, CustomerId> customers,
    boolean keysRequired,
    CallerLimits limits) {}
