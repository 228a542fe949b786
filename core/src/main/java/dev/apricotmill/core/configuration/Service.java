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
   * @param name the name, which callers send as the model
   * @param replicas the engines
   * @param profile the expected performance of one engine
   * @param checksFencing whether the engines refuse orders with an outdated fencing number
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
   * @param name the name, which is the first segment of the request path
   * @param replicas the instances
   * @param keyPolicy the form and retention of idempotency keys
   */
  record PlainPool(ServiceName name, ImmutableList<Replica> replicas, KeyPolicy keyPolicy)
      implements Service {}
}
