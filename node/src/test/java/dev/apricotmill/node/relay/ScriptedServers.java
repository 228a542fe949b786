package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.List;

/** Lists of servers for tests. */
final class ScriptedServers {

  private ScriptedServers() {}

  /** Returns {@code count} servers of each service, named after it and numbered from 0. */
  static ImmutableMap<ReplicaId, BackendServer> ofServices(int count, ServiceName... services) {
    ImmutableMap.Builder<ReplicaId, BackendServer> servers = ImmutableMap.builder();
    for (ServiceName service : List.of(services)) {
      for (int i = 0; i < count; i++) {
        BackendServer server = server(service, i, 1);
        servers.put(server.id(), server);
      }
    }
    return servers.buildOrThrow();
  }

  static BackendServer server(ServiceName service, int number, long startedMillis) {
    return new BackendServer(
        new ReplicaId(service.value() + number),
        service,
        new PeerAddress("10.0.0.1", 80),
        new Zone("a"),
        4,
        true,
        startedMillis);
  }
}
