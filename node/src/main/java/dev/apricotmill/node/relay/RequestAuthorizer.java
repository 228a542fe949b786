package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.Route;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.CustomerId;
import java.time.Duration;
import java.util.Optional;

/** Decides whether a request is allowed, by the configuration and its staleness. */
final class RequestAuthorizer {

  /** The decision on a request. */
  sealed interface Decision {
    /**
     * The request is allowed.
     *
     * @param route its route
     * @param service the service that it goes to
     * @param customer the customer whose key it has
     */
    record Allowed(Route route, ServiceProfile service, Optional<CustomerId> customer)
        implements Decision {

      /** Returns whether engines are chosen by the size of the request. */
      boolean isGeneration(RelayRequest request) {
        return request.size().isPresent() && service.engine().isPresent();
      }
    }

    /**
     * The request is refused.
     *
     * @param refusal the reason
     */
    record Refused(RelayRefusal refusal) implements Decision {}
  }

  private final Duration maxStaleness;
  private final Duration configurationBound;

  /**
   * Creates an authorizer.
   *
   * @param maxStaleness the staleness of the configuration beyond which no key is accepted
   * @param configurationBound the staleness beyond which a confirmed route or key may be missing
   */
  RequestAuthorizer(Duration maxStaleness, Duration configurationBound) {
    this.maxStaleness = maxStaleness;
    this.configurationBound = configurationBound;
  }

  /**
   * Decides on a request.
   *
   * @param point a number from 0 (included) to 1 (excluded) that spreads requests over services
   */
  Decision authorize(
      ServingView view, RelayRequest request, double point, long nowNanos, long nowMillis) {
    if (view.configuration().isEmpty() || view.servers().isEmpty()) {
      return new Decision.Refused(RelayRefusal.CONFIGURATION_UNKNOWN);
    }
    ServingConfiguration configuration = view.configuration().get();
    boolean fresh = isValidatedWithin(maxStaleness, view, nowNanos, nowMillis);
    boolean complete = isValidatedWithin(configurationBound, view, nowNanos, nowMillis);
    Optional<Route> route = configuration.routes().find(request.host(), request.path());
    if (route.isEmpty()) {
      return new Decision.Refused(
          complete ? RelayRefusal.NO_ROUTE : RelayRefusal.CONFIGURATION_UNKNOWN);
    }
    boolean needsKey = configuration.keysRequired() && !route.get().anonymousAllowed();
    if (needsKey && !fresh) {
      return new Decision.Refused(RelayRefusal.CONFIGURATION_UNKNOWN);
    }
    Optional<CustomerId> customer = customerOf(configuration.customers(), request);
    if (needsKey && customer.isEmpty()) {
      return new Decision.Refused(
          complete ? RelayRefusal.UNKNOWN_KEY : RelayRefusal.CONFIGURATION_UNKNOWN);
    }
    return route
        .get()
        .serviceAt(point)
        .flatMap(name -> Optional.ofNullable(configuration.services().get(name)))
        .<Decision>map(service -> new Decision.Allowed(route.get(), service, customer))
        .orElseGet(() -> new Decision.Refused(RelayRefusal.NO_SERVER));
  }

  private static boolean isValidatedWithin(
      Duration bound, ServingView view, long nowNanos, long nowMillis) {
    return view.validatedAt()
        .filter(validatedAt -> validatedAt.isFresh(nowNanos, nowMillis, bound))
        .isPresent();
  }

  private static Optional<CustomerId> customerOf(
      ImmutableMap<String, CustomerId> customers, RelayRequest request) {
    return request.customerKey().flatMap(key -> Optional.ofNullable(customers.get(key)));
  }
}
