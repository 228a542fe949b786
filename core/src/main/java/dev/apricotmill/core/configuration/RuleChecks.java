package dev.apricotmill.core.configuration;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;
import dev.apricotmill.core.request.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks the fields of rules, the services that they name, and that each rule can apply. */
final class RuleChecks {
  private static final String ANY_METHOD = "*";
  private static final ImmutableSet<String> NON_IDEMPOTENT_METHODS =
      ImmutableSet.of("POST", "PATCH", ANY_METHOD);

  private final ConfigurationDraft draft;
  private final FaultCollector faults;
  private final Map<ServiceName, Service> services = new HashMap<>();

  private RuleChecks(ConfigurationDraft draft, FaultCollector faults) {
    this.draft = draft;
    this.faults = faults;
    draft.services().forEach(located -> services.put(located.value().name(), located.value()));
  }

  static void check(ConfigurationDraft draft, FaultCollector faults) {
    new RuleChecks(draft, faults).check();
  }

  private void check() {
    List<Located<Rule>> rules = draft.rules();
    for (int index = 0; index < rules.size(); index++) {
      checkFields(rules.get(index).value(), rules.get(index).pointer());
      checkAgainstEarlierRules(rules.get(index), rules.subList(0, index));
    }
    for (Located<Service> located : draft.services()) {
      if (!draft.servicesWithRules().contains(located.value().name())) {
        faults.add(located.pointer(), Kind.SERVICE_WITHOUT_RULE, located.value().name().value());
      }
    }
  }

  private void checkFields(Rule rule, String pointer) {
    if (!draft.declaredServices().contains(rule.service())) {
      faults.add(pointer + "/service", Kind.UNKNOWN_SERVICE, rule.service().value());
    }
    if (!ConfigurationLimits.isMethod(rule.method())) {
      faults.add(
          pointer + "/method",
          Kind.MALFORMED_VALUE,
          rule.method() + ", expected an upper-case HTTP method or *");
    }
    if (!ConfigurationLimits.isPathPrefix(rule.pathPrefix())) {
      faults.add(
          pointer + "/pathPrefix",
          Kind.MALFORMED_VALUE,
          rule.pathPrefix() + ", expected a path that begins with a slash");
    }
    EntryChecks.checkRange(
        rule.timeLimit(), ConfigurationLimits.TIME_LIMIT, pointer + "/timeLimit", faults);
    Optional.ofNullable(services.get(rule.service()))
        .ifPresent(service -> checkRepetition(rule, service, pointer));
  }

  private void checkRepetition(Rule rule, Service service, String pointer) {
    if (rule.access() == Rule.Access.DENY) {
      return;
    }
    Optional<KeyPolicy> policy =
        service instanceof Service.PlainPool pool
            ? Optional.of(pool.keyPolicy())
            : Optional.empty();
    if (rule.repetition() == Rule.Repetition.AT_MOST_ONCE) {
      checkKeyPolicy(rule, policy, pointer);
    } else if (policy.isPresent() && NON_IDEMPOTENT_METHODS.contains(rule.method())) {
      faults.add(pointer + "/repetition", Kind.UNSAFE_METHOD_IDEMPOTENT, rule.method());
    }
  }

  private void checkKeyPolicy(Rule rule, Optional<KeyPolicy> policy, String pointer) {
    if (policy.isEmpty()) {
      faults.add(pointer + "/repetition", Kind.MISSING_KEY_POLICY, rule.service().value());
    } else if (policy.get().window().compareTo(rule.timeLimit()) < 0) {
      faults.add(
          pointer + "/timeLimit",
          Kind.WINDOW_SHORTER_THAN_TIME_LIMIT,
          policy.get().window() + " is shorter than " + rule.timeLimit());
    }
  }

  private void checkAgainstEarlierRules(Located<Rule> later, List<Located<Rule>> earlierRules) {
    for (Located<Rule> earlier : earlierRules) {
      if (covers(earlier.value(), later.value())) {
        faults.add(later.pointer(), Kind.UNREACHABLE_RULE, "see " + earlier.pointer());
        return;
      }
    }
    earlierRules.stream()
        .filter(earlier -> conflicts(earlier.value(), later.value()))
        .findFirst()
        .ifPresent(
            earlier ->
                faults.add(later.pointer(), Kind.OVERLAPPING_RULES, "see " + earlier.pointer()));
  }

  private static boolean covers(Rule broader, Rule narrower) {
    return broader.service().equals(narrower.service())
        && (broader.method().equals(ANY_METHOD) || broader.method().equals(narrower.method()))
        && narrower.pathPrefix().startsWith(broader.pathPrefix());
  }

  private static boolean conflicts(Rule earlier, Rule later) {
    boolean methodsOverlap =
        earlier.method().equals(later.method())
            || earlier.method().equals(ANY_METHOD)
            || later.method().equals(ANY_METHOD);
    boolean pathsOverlap =
        earlier.pathPrefix().startsWith(later.pathPrefix())
            || later.pathPrefix().startsWith(earlier.pathPrefix());
    boolean decisionsDiffer =
        earlier.access() != later.access() || earlier.repetition() != later.repetition();
    return earlier.service().equals(later.service())
        && methodsOverlap
        && pathsOverlap
        && decisionsDiffer
        && !covers(later, earlier);
  }
}
