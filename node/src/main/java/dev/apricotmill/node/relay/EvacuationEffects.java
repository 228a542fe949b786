package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ServiceName;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Logs evacuations that are probably mistakes: of a zone without servers, and those that leave a
 * service without any server. Each is logged once. Runs on the relay's executor.
 */
final class EvacuationEffects {

  private final EventLog log;
  private ImmutableSet<Zone> checkedZones = ImmutableSet.of();
  private final Set<ServiceName> servicesWithoutServer = new HashSet<>();

  EvacuationEffects(EventLog log) {
    this.log = log;
  }

  /**
   * Checks the effect of all evacuations.
   *
   * @param servers the servers with their state before the evacuations are applied
   */
  void check(Collection<BackendServer> servers, ImmutableSet<Zone> zones) {
    if (zones.isEmpty() && checkedZones.isEmpty()) {
      return;
    }
    Set<Zone> zonesOfServers =
        servers.stream().map(BackendServer::zone).collect(Collectors.toSet());
    Sets.difference(Sets.difference(zones, checkedZones), zonesOfServers)
        .forEach(
            zone ->
                log.write("evacuation.zone_without_servers", ImmutableMap.of("zone", zone.name())));
    Set<ServiceName> affected = servicesOnlyIn(zones, servers);
    if (!zones.containsAll(checkedZones)) {
      // After an evacuation has ended, the loss of the last server is worth another line.
      servicesWithoutServer.retainAll(affected);
    }
    affected.stream()
        .filter(servicesWithoutServer::add)
        .forEach(
            service ->
                log.write(
                    "evacuation.service_without_server",
                    ImmutableMap.of("service", service.value(), "zones", zones.toString())));
    checkedZones = zones;
  }

  /** Returns the services whose servers that accept requests are all in these zones. */
  private static Set<ServiceName> servicesOnlyIn(
      ImmutableSet<Zone> zones, Collection<BackendServer> servers) {
    Set<ServiceName> inside = new HashSet<>();
    Set<ServiceName> outside = new HashSet<>();
    servers.stream()
        .filter(BackendServer::ready)
        .forEach(
            server -> (zones.contains(server.zone()) ? inside : outside).add(server.service()));
    inside.removeAll(outside);
    return inside;
  }
}
