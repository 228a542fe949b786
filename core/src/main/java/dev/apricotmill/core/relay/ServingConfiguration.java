package dev.apricotmill.core.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.ServiceName;

/**
 * One version of the operators' configuration.
 *
 * @param version the version number set by the operators; increases with each change
 * @param routes the routes
 * @param services the services by name
 * @param customers the customers by API key
 * @param keysRequired whether a request needs a customer key, unless its route allows anonymous
 *     requests
 * @param limits the limits for requests of callers
 */
public record ServingConfiguration(
    long version,
    RouteTable routes,
    ImmutableMap<ServiceName, ServiceProfile> services,
    ImmutableMap<String, CustomerId> customers,
    boolean keysRequired,
    CallerLimits limits) {}
