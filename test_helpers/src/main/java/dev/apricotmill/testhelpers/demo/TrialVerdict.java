package dev.apricotmill.testhelpers.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import dev.apricotmill.testhelpers.StandInText;
import java.util.function.Predicate;

/** Compares what callers were told with what engines and services really did. */
final class TrialVerdict {

  private final ImmutableList<TrialCall> calls;
  private final ImmutableMultiset<String> ordersByKey;
  private final ImmutableMultiset<String> executionsByRequest;
  private final ImmutableMultiset<String> startsByRequest;

  TrialVerdict(ImmutableList<TrialCall> calls, StandInLogs logs) {
    this.calls = calls;
    ImmutableList<JsonNode> serviceLog = logs.serviceLog();
    this.ordersByKey =
        serviceLog.stream()
            .filter(entry -> entry.path("operation").asText().equals("ORDER"))
            .map(entry -> entry.path("idempotency_key").asText())
            .collect(ImmutableMultiset.toImmutableMultiset());
    this.executionsByRequest =
        serviceLog.stream()
            .map(entry -> entry.path("request_id").asText())
            .collect(ImmutableMultiset.toImmutableMultiset());
    this.startsByRequest =
        logs.engineLog().stream()
            .filter(entry -> entry.path("kind").asText().equals("STARTED"))
            .map(entry -> entry.path("sequence").path("request").asText())
            .collect(ImmutableMultiset.toImmutableMultiset());
  }

  /** Prints how often callers saw each outcome. */
  void printCounts() {
    Multiset<String> counts = HashMultiset.create();
    for (TrialCall call : calls) {
      CallResult result = call.result();
      String outcome = result.isBroken() ? "(connection broke)" : result.outcome();
      counts.add(String.format("%-10s %s", call.kind(), outcome));
    }
    counts.entrySet().stream()
        .sorted((one, other) -> one.getElement().compareTo(other.getElement()))
        .forEach(entry -> System.out.printf("%-40s %d%n", entry.getElement(), entry.getCount()));
    System.out.printf(
        "services executed %d orders; engines started %d sequences%n",
        ordersByKey.size(), startsByRequest.size());
  }

  /** Reports whether every promise held. */
  void judge(Report report) {
    report.fact(
        "no order was executed twice",
        ordersByKey.entrySet().stream().allMatch(entry -> entry.getCount() == 1));
    none(report, "no order told as not run had run", this::isFalseNotRunOrder);
    none(report, "no completion told as not run started", this::isFalseNotRunCompletion);
    none(report, "every answered order was executed", this::isAnsweredButNotExecuted);
    none(report, "every answered text is whole", this::isWrongText);
    none(report, "no text is wrong so far as it came", this::isForeignText);
    report.fact(
        "something was answered", calls.stream().anyMatch(call -> call.result().isAnswered()));
  }

  private void none(Report report, String name, Predicate<TrialCall> fault) {
    ImmutableList<TrialCall> faulty =
        calls.stream().filter(fault).collect(ImmutableList.toImmutableList());
    report.fact(name, faulty.isEmpty());
    faulty.stream()
        .limit(3)
        .map(TrialCall::result)
        .forEach(result -> System.out.printf("    %s: %.200s%n", result.requestId(), result));
  }

  private boolean isFalseNotRunOrder(TrialCall call) {
    return call.kind() == TrialCall.Kind.ORDER
        && call.result().outcome().equals(CallResult.NOT_RUN)
        && executionsByRequest.contains(call.result().requestId());
  }

  private boolean isFalseNotRunCompletion(TrialCall call) {
    return call.kind() == TrialCall.Kind.COMPLETION
        && call.result().outcome().equals(CallResult.NOT_RUN)
        && startsByRequest.contains(call.result().requestId());
  }

  private boolean isAnsweredButNotExecuted(TrialCall call) {
    return call.kind() == TrialCall.Kind.ORDER
        && call.result().isAnswered()
        && ordersByKey.count(call.subject()) != 1;
  }

  private boolean isWrongText(TrialCall call) {
    return call.kind() == TrialCall.Kind.COMPLETION
        && call.result().isAnswered()
        && !call.result().text().equals(StandInText.expected(call.subject(), call.tokens()));
  }

  private boolean isForeignText(TrialCall call) {
    boolean streamed = call.result().status() == 200 || call.result().isBroken();
    return call.kind() == TrialCall.Kind.COMPLETION
        && streamed
        && !StandInText.expected(call.subject(), call.tokens()).startsWith(call.result().text());
  }
}
