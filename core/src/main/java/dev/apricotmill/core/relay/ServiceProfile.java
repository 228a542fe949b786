package dev.apricotmill.core.relay;

import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * A service of the configuration.
 *
 * @param name the service's name
 * @param maximumConnections the maximum number of connections to each backend server, over all
 *     clients
 * @param engine the cost model of its engines; empty for a service without model engines
 * @param coldStart how its servers warm up; empty if they have no limit of requests meanwhile
 */
public record ServiceProfile(
    ServiceName name,
    int maximumConnections,
    Optional<EngineCostModel> engine,
    Optional<ColdStart> coldStart) {

  /** Creates a service whose servers need no warm-up. */
  public ServiceProfile(
      ServiceName name, int maximumConnections, Optional<EngineCostModel> engine) {
    this(name, maximumConnections, engine, Optional.empty());
  }
}
