package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.node.entry.AdmissionPolicy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Runs idempotent calls: a call without a response is retried on another replica. */
final class IdempotentCalls {

  /** The most replicas that one call is sent to. */
  private static final int MAXIMUM_ATTEMPTS = 3;

  private final CallContext context;

  IdempotentCalls(CallContext context) {
    this.context = context;
  }

  CompletionStage<CompletedCall> run(ServiceCall call) {
    context.retryBudget().onRequest();
    ImmutableList<Replica> candidates = context.candidates(call.service());
    Outcome fallback = new Outcome.Refused(RefusalReason.NO_REPLICA, AdmissionPolicy.RETRY_AFTER);
    return attempt(call, candidates, ImmutableList.of(), fallback);
  }

  private CompletionStage<CompletedCall> attempt(
      ServiceCall call,
      ImmutableList<Replica> candidates,
      ImmutableList<String> tried,
      Outcome fallback) {
    Duration remaining = call.deadline().remaining(context.timing().nanoTime());
    if (!mayTry(candidates, tried) || remaining.isZero()) {
      return CompletableFuture.completedFuture(CompletedCall.withoutResponse(fallback, tried));
    }
    Replica replica = candidates.get(0);
    ImmutableList<Replica> rest = candidates.subList(1, candidates.size());
    ImmutableList<String> triedWithCurrent =
        ImmutableList.<String>builder().addAll(tried).add(replica.id().value()).build();
    Duration timeout = attemptTimeout(remaining, rest);
    return context
        .services()
        .call(replica, call, timeout)
        .thenCompose(result -> completeOrRetry(call, result, rest, triedWithCurrent, fallback));
  }

  private CompletionStage<CompletedCall> completeOrRetry(
      ServiceCall call,
      CallResult result,
      ImmutableList<Replica> rest,
      ImmutableList<String> tried,
      Outcome previousFallback) {
    if (result instanceof CallResult.Response response) {
      return CompletableFuture.completedFuture(CompletedCall.answered(response, tried));
    }
    boolean lost = result instanceof CallResult.Lost || previousFallback instanceof Outcome.Unknown;
    Outcome fallback = lost ? new Outcome.Unknown(UnknownReason.BACKEND_SILENT) : previousFallback;
    return attempt(call, rest, tried, fallback);
  }

  private boolean mayTry(ImmutableList<Replica> candidates, ImmutableList<String> tried) {
    if (candidates.isEmpty() || tried.size() >= MAXIMUM_ATTEMPTS) {
      return false;
    }
    return tried.isEmpty() || context.retryBudget().tryTake();
  }

  /** Reserves half of the remaining time for a retry if there is another replica. */
  private static Duration attemptTimeout(Duration remaining, ImmutableList<Replica> rest) {
    return rest.isEmpty() ? remaining : remaining.dividedBy(2);
  }
}
