package dev.apricotmill.node.entry;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.node.NodeSettings;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.fleet.FleetView;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** Decides whether a submission is admitted. Stateless. */
public final class AdmissionPolicy {

  /**
   * The retry-after time in refusals. A caller of a daemon that is starting or draining should
   * retry at another daemon if it can.
   */
  public static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private static final ImmutableSet<String> SAFE_METHODS =
      ImmutableSet.of("GET", "HEAD", "OPTIONS");

  private final NodeSettings settings;

  /** Creates a policy with the daemon's limits. */
  public AdmissionPolicy(NodeSettings settings) {
    this.settings = settings;
  }

  /**
   * Decides on a submission.
   *
   * @param view the fleet
   * @param phase the daemon's phase
   * @param customerKey the caller's key in plain text
   * @param serviceName the requested service
   * @param method the HTTP method
   * @param path the path below the service's root
   * @param requestedTimeLimit the caller's time limit, if given
   */
  public Admission decide(
      FleetView view,
      NodeStatus.Phase phase,
      String customerKey,
      ServiceName serviceName,
      String method,
      String path,
      Optional<Duration> requestedTimeLimit) {
    if (phase != NodeStatus.Phase.READY) {
      return reject(
          phase == NodeStatus.Phase.STARTING ? RefusalReason.NOT_READY : RefusalReason.DRAINING);
    }
    Optional<Customer> customer = view.customerByKeyHash(hashOf(customerKey));
    if (customer.isEmpty()) {
      return reject(RefusalReason.UNKNOWN_CUSTOMER);
    }
    Optional<Service> service = view.configuration().service(serviceName);
    if (service.isEmpty()) {
      return reject(RefusalReason.UNKNOWN_SERVICE);
    }
    Optional<Rule> rule = view.configuration().ruleFor(serviceName, method, path);
    if (rule.isPresent() && rule.get().access() == Rule.Access.DENY) {
      return reject(RefusalReason.FORBIDDEN_BY_RULE);
    }
    return new Admission.Admitted(
        customer.get(),
        service.get(),
        rule.map(Rule::repetition).orElseGet(() -> defaultRepetition(service.get(), method)),
        timeLimit(rule, requestedTimeLimit));
  }

  /** Returns the SHA-256 of a key in lower-case hexadecimal. */
  public static String hashOf(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /** Without a rule, only safe HTTP methods and text generation may run more than once. */
  private static Rule.Repetition defaultRepetition(Service service, String method) {
    return service instanceof Service.ModelPool || SAFE_METHODS.contains(method)
        ? Rule.Repetition.IDEMPOTENT
        : Rule.Repetition.AT_MOST_ONCE;
  }

  private Duration timeLimit(Optional<Rule> rule, Optional<Duration> requestedTimeLimit) {
    Duration maximum =
        rule.map(Rule::timeLimit)
            .filter(limit -> limit.compareTo(settings.maximumTimeLimit()) < 0)
            .orElse(settings.maximumTimeLimit());
    Duration requestedOrDefault =
        requestedTimeLimit.orElse(rule.map(Rule::timeLimit).orElse(settings.defaultTimeLimit()));
    return requestedOrDefault.compareTo(maximum) < 0 ? requestedOrDefault : maximum;
  }

  private static Admission reject(RefusalReason reason) {
    Duration retryAfter = reason.retryable() ? RETRY_AFTER : Duration.ZERO;
    return new Admission.Rejected(new Outcome.Refused(reason, retryAfter));
  }
}
