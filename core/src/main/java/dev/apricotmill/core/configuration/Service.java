package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.request.ServiceName;

/** A service to which requests are routed. */
public sealed interface Service {

  /** Returns the service's name. */
  ServiceName name();

  /** Returns the replicas in all zones. */
  ImmutableList<Replica> replicas();

  /**
   * A pool of model engines.
   *
   * @param name the name, which callers give as the model
   * @param replicas the engines
   * @param profile what one engine can do
   * @param checksFencing whether the engines refuse an order with an old fencing number
   */
  record ModelPool(
      ServiceName name,
      ImmutableList<Replica> replicas,
      EngineProfile profile,
      boolean checksFencing)
      implements Service {}

  /**
   * A plain service.
   *
   * @param name the name, the first segment of the callers' path
   * @param replicas the instances
   * @param keyPolicy how long idempotency keys are remembered
   */
  record PlainPool(ServiceName name, ImmutableList<Replica> replicas, KeyPolicy keyPolicy)
      implements Service {}
}
