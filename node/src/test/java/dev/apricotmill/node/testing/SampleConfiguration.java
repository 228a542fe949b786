package dev.apricotmill.node.testing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.CustomerLimits;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.KeyPolicy;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.node.entry.AdmissionPolicy;
import java.time.Duration;

/** The configuration of the test deployment. */
public final class SampleConfiguration {

  /** The model pool. */
  public static final ServiceName POOL = new ServiceName("model");

  /** The plain service, whose POST calls run at most once. */
  public static final ServiceName ORDERS = new ServiceName("orders");

  /** The customer's API key. */
  public static final String CUSTOMER_KEY = "a-customer-key";

  /** The most requests that the customer may have open at once in the whole deployment. */
  public static final int OPEN_REQUESTS = 120;

  /** The profile of each engine. */
  public static final EngineProfile PROFILE = new EngineProfile(100_000, 20_000, 50, 32);

  private static final int ENGINES_PER_ZONE = 2;

  private SampleConfiguration() {}

  /** Returns the configuration. */
  public static Configuration create() {
    return create(ImmutableList.of());
  }

  /** Returns the configuration with planned stops. */
  public static Configuration create(ImmutableList<PlannedStop> stops) {
    Customer customer =
        new Customer(
            new CustomerId("customer-1"),
            AdmissionPolicy.hashOf(CUSTOMER_KEY),
            1,
            Priority.NORMAL,
            new CustomerLimits(1_000, 10_000_000, OPEN_REQUESTS));
    Service pool = new Service.ModelPool(POOL, engines(), PROFILE, true);
    Service orders =
        new Service.PlainPool(
            ORDERS, serviceReplicas(), new KeyPolicy(KeyPolicy.Form.OPAQUE, Duration.ofHours(1)));
    return new Configuration(
        0,
        Objective.SHORT_REQUEST_SLOWDOWN,
        ImmutableMap.of(customer.id(), customer),
        ImmutableMap.of(POOL, pool, ORDERS, orders),
        ImmutableList.of(
            new Rule(
                ORDERS,
                "POST",
                "/",
                Rule.Access.ALLOW,
                Rule.Repetition.AT_MOST_ONCE,
                Duration.ofSeconds(10))),
        stops);
  }

  /** Returns the configuration with one more rule, for the model pool. */
  public static Configuration withPoolRule(Rule.Repetition repetition) {
    Configuration base = create();
    Rule rule = new Rule(POOL, "POST", "/", Rule.Access.ALLOW, repetition, Duration.ofSeconds(10));
    return new Configuration(
        base.generation(),
        base.objective(),
        base.customers(),
        base.services(),
        ImmutableList.<Rule>builder().add(rule).addAll(base.rules()).build(),
        base.plannedStops());
  }

  /** Returns the engines of the pool. */
  public static ImmutableList<Replica> engines() {
    ImmutableList.Builder<Replica> replicas = ImmutableList.builder();
    for (Zone zone : Deployment.ZONES) {
      for (int index = 1; index <= ENGINES_PER_ZONE; index++) {
        replicas.add(replica("engine-" + zone + "-" + index, zone));
      }
    }
    return replicas.build();
  }

  /** Returns the replicas of the plain service. */
  public static ImmutableList<Replica> serviceReplicas() {
    return Deployment.ZONES.stream()
        .map(zone -> replica("orders-" + zone, zone))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the replicas of both services. */
  public static ImmutableList<Replica> replicas() {
    return ImmutableList.<Replica>builder().addAll(engines()).addAll(serviceReplicas()).build();
  }

  private static Replica replica(String name, Zone zone) {
    return new Replica(new ReplicaId(name), zone, new PeerAddress("10.0.1.1", 8000), "vm-" + name);
  }
}
