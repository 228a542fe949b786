package dev.apricotmill.coordination.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The faults injected by a test; the newest matching rule applies. */
final class FaultRules {

  private final List<Rule> rules = new ArrayList<>();

  void addForCalls(Predicate<PlatformRequest> matching, PlatformFault fault, int calls) {
    rules.add(0, new Rule(matching, fault, calls, Long.MAX_VALUE));
  }

  void addUntilTime(Predicate<PlatformRequest> matching, PlatformFault fault, long untilNanos) {
    rules.add(0, new Rule(matching, fault, Integer.MAX_VALUE, untilNanos));
  }

  void clear() {
    rules.clear();
  }

  /** Returns the fault that applies to a new call and counts the call against its rule. */
  Optional<PlatformFault> faultOfNewCall(PlatformRequest request, long nowNanos) {
    for (Rule rule : rules) {
      if (rule.applies(request, nowNanos)) {
        rule.remainingCalls--;
        return Optional.of(rule.fault);
      }
    }
    return Optional.empty();
  }

  /** Returns the fault not limited to a number of calls that applies to a call in progress. */
  Optional<PlatformFault> ongoingFault(PlatformRequest request, long nowNanos) {
    return rules.stream()
        .filter(rule -> rule.ongoing && rule.applies(request, nowNanos))
        .map(rule -> rule.fault)
        .findFirst();
  }

  private static final class Rule {

    private final Predicate<PlatformRequest> matching;
    private final PlatformFault fault;
    private final long untilNanos;
    private final boolean ongoing;
    private int remainingCalls;

    Rule(Predicate<PlatformRequest> matching, PlatformFault fault, int calls, long untilNanos) {
      this.matching = matching;
      this.fault = fault;
      this.remainingCalls = calls;
      this.ongoing = calls == Integer.MAX_VALUE;
      this.untilNanos = untilNanos;
    }

    boolean applies(PlatformRequest request, long nowNanos) {
      return remainingCalls > 0 && nowNanos < untilNanos && matching.test(request);
    }
  }
}
