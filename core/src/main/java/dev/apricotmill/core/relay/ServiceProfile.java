package dev.apricotmill.core.relay;

import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * A service as the configuration describes it.
 *
 * @param name the service's name
 * @param maximumConnections connections that each backend server takes from all callers together
 * @param engine the figures of its model engines; empty for a plain service
 */
public record ServiceProfile(
    ServiceName name, int maximumConnections, Optional<EngineCostModel> engine) {}
