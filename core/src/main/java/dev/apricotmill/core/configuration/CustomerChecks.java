package dev.apricotmill.core.configuration;

import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import dev.apricotmill.core.request.CustomerId;
import java.util.HashSet;
import java.util.Set;

/** Checks identifiers, keys, weights and limits of all customers. */
final class CustomerChecks {
  private final FaultCollector faults;
  private final Set<CustomerId> identifiers = new HashSet<>();
  private final Set<String> keyHashes = new HashSet<>();

  private CustomerChecks(FaultCollector faults) {
    this.faults = faults;
  }

  static void check(ConfigurationDraft draft, FaultCollector faults) {
    CustomerChecks checks = new CustomerChecks(faults);
    draft.customers().forEach(located -> checks.check(located.value(), located.pointer()));
  }

  private void check(Customer customer, String pointer) {
    EntryChecks.checkName(customer.id().value(), pointer + "/id", faults);
    if (!identifiers.add(customer.id())) {
      faults.add(pointer + "/id", Kind.DUPLICATE, customer.id().value());
    }
    checkKey(customer, pointer);
    EntryChecks.checkRange(
        customer.weight(), ConfigurationLimits.WEIGHT, pointer + "/weight", faults);
    checkLimits(customer.limits(), pointer + "/limits");
  }

  private void checkKey(Customer customer, String pointer) {
    if (!ConfigurationLimits.isKeyHash(customer.keyHash())) {
      faults.add(
          pointer + "/keyHash", Kind.MALFORMED_VALUE, "expected 64 lower-case hexadecimal digits");
    } else if (!keyHashes.add(customer.keyHash())) {
      faults.add(pointer, Kind.DUPLICATE_KEY, customer.id().value());
    }
  }

  private void checkLimits(CustomerLimits limits, String pointer) {
    EntryChecks.checkRange(
        limits.requestsPerSecond(),
        ConfigurationLimits.REQUESTS_PER_SECOND,
        pointer + "/requestsPerSecond",
        faults);
    EntryChecks.checkRange(
        limits.promptTokensPerSecond(),
        ConfigurationLimits.PROMPT_TOKENS_PER_SECOND,
        pointer + "/promptTokensPerSecond",
        faults);
    EntryChecks.checkRange(
        limits.openRequests(),
        ConfigurationLimits.OPEN_REQUESTS,
        pointer + "/openRequests",
        faults);
  }
}
