package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.nio.charset.StandardCharsets;

/** Makes configurations of any size: replicas spread over the zones and seven pools. */
final class FleetConfiguration {

  static final int ZONES = 6;
  private static final int POOLS = 7;
  private static final EngineProfile PROFILE = new EngineProfile(400_000, 20_000, 40, 64);
  private static final PeerAddress ADDRESS = new PeerAddress("127.0.0.1", 1);

  private FleetConfiguration() {}

  static Zone zone(int index) {
    return new Zone("zone-" + index % ZONES);
  }

  static Configuration of(int replicas, int customers) {
    ImmutableMap.Builder<ServiceName, Service> services = ImmutableMap.builder();
    for (int pool = 0; pool < POOLS; pool++) {
      ServiceName name = new ServiceName("model-" + pool);
      services.put(name, new Service.ModelPool(name, replicas(pool, replicas), PROFILE, true));
    }
    ImmutableMap.Builder<CustomerId, Customer> all = ImmutableMap.builder();
    for (int index = 0; index < customers; index++) {
      Customer customer = customer(index);
      all.put(customer.id(), customer);
    }
    return new Configuration(
        0,
        Objective.SHORT_REQUEST_SLOWDOWN,
        all.buildOrThrow(),
        services.buildOrThrow(),
        ImmutableList.of(),
        ImmutableList.of());
  }

  private static ImmutableList<Replica> replicas(int pool, int count) {
    ImmutableList.Builder<Replica> replicas = ImmutableList.builder();
    for (int index = pool; index < count; index += POOLS) {
      String name = "engine-" + index;
      replicas.add(new Replica(new ReplicaId(name), zone(index), ADDRESS, "vm-" + name));
    }
    return replicas.build();
  }

  private static Customer customer(int index) {
    String name = String.format("customer-%05d", index);
    String keyHash = Hashing.sha256().hashString(name, StandardCharsets.UTF_8).toString();
    return new Customer(
        new CustomerId(name), keyHash, 1, Priority.NORMAL, new CustomerLimits(10, 100_000, 50));
  }
}
