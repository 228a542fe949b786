package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.ledger.ClaimRequest;
import dev.apricotmill.coordination.ledger.ClaimResult;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.node.entry.AdmissionPolicy;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One call that must not run more than once, from its claim to its outcome.
 *
 * <p>The claim in the platform's store decides which daemon may dispatch the call. Between claim
 * and dispatch, the remaining time and the daemon's own incarnation are checked again. An unused
 * claim is withdrawn, so that a repeat with the same key may run.
 */
final class AtMostOnceCall {

  /** The delay before the claim is retried while the first request with the key is running. */
  private static final Duration CLAIM_RETRY_DELAY = Duration.ofMillis(250);

  /** The most retries of the claim while the first request with the key is running. */
  private static final int MAXIMUM_CLAIM_RETRIES = 4;

  private final CallContext context;
  private final ServiceCall call;
  private final ClaimRequest claim;
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.CLAIMING);
  private final CompletableFuture<CompletedCall> result = new CompletableFuture<>();
  private int claimRetries;
  private volatile boolean firstIsRunning;

  AtMostOnceCall(CallContext context, ServiceCall call, ClaimRequest claim) {
    this.context = context;
    this.call = call;
    this.claim = claim;
  }

  private enum Phase {
    CLAIMING,
    DISPATCHING,
    ENDED
  }

  CompletionStage<CompletedCall> run() {
    Future<?> timeout = context.timing().schedule(remaining(), this::expire);
    result.whenComplete((completed, failure) -> timeout.cancel(false));
    claim();
    return result;
  }

  private void claim() {
    context.claims().claim(claim).thenAccept(this::onClaim);
  }

  private void expire() {
    if (phase.compareAndSet(Phase.CLAIMING, Phase.ENDED)) {
      complete(notDispatched(RefusalReason.EXPIRED));
    }
  }

  /**
   * A call that is still being claimed was not dispatched, so it certainly did not run, unless it
   * is the repeat of one that runs.
   */
  private CompletedCall notDispatched(RefusalReason reason) {
    return firstIsRunning ? firstStillRunning() : refused(reason);
  }

  private static CompletedCall firstStillRunning() {
    return CompletedCall.repeatWithoutResponse(
        new Outcome.Unknown(UnknownReason.FIRST_STILL_RUNNING));
  }

  private void onClaim(ClaimResult result) {
    if (result instanceof ClaimResult.Claimed claimed) {
      onClaimed(claimed);
    } else if (result instanceof ClaimResult.AlreadyClaimed claimed) {
      onAlreadyClaimed(claimed.runner());
    } else if (result instanceof ClaimResult.Undetermined) {
      withdraw();
      completeClaiming(notDispatched(RefusalReason.CLAIMS_UNAVAILABLE));
    } else {
      completeClaiming(completedCallFor(result));
    }
  }

  private void onClaimed(ClaimResult.Claimed claimed) {
    long now = context.timing().nanoTime();
    boolean expired = claimed.dispatchBefore().hasPassed(now) || call.deadline().hasPassed(now);
    boolean replaced = !context.self().get().equals(claim.runner());
    if (expired || replaced) {
      withdraw();
      completeClaiming(refused(replaced ? RefusalReason.DAEMON_PAUSED : RefusalReason.EXPIRED));
    } else if (phase.compareAndSet(Phase.CLAIMING, Phase.DISPATCHING)) {
      dispatch(context.candidates(call.service()), ImmutableList.of());
    } else {
      withdraw();
    }
  }

  /** The daemon that keeps the ledger may learn later than this one that the runner has died. */
  private void onAlreadyClaimed(Incarnation runner) {
    firstIsRunning = true;
    if (!context.mayBeRunning().test(runner)) {
      completeClaiming(completedCallFor(new ClaimResult.RunnerGone(runner)));
    } else if (phase.get() == Phase.CLAIMING && claimRetries < MAXIMUM_CLAIM_RETRIES) {
      claimRetries++;
      context.timing().schedule(CLAIM_RETRY_DELAY, this::claim);
    } else {
      completeClaiming(firstStillRunning());
    }
  }

  private CompletedCall completedCallFor(ClaimResult result) {
    if (result instanceof ClaimResult.AlreadyFinished finished) {
      return CallOutcomeCodec.decode(finished.outcome());
    }
    if (result instanceof ClaimResult.RunnerGone) {
      return CompletedCall.repeatWithoutResponse(
          new Outcome.Unknown(UnknownReason.FIRST_RUNNER_GONE));
    }
    if (result instanceof ClaimResult.TooOld) {
      return CompletedCall.repeatWithoutResponse(new Outcome.Failed(FailureReason.KEY_TOO_OLD));
    }
    if (result instanceof ClaimResult.KeyReused) {
      return refused(RefusalReason.KEY_REUSED);
    }
    return result instanceof ClaimResult.FromFuture
        ? refused(RefusalReason.KEY_FROM_FUTURE)
        : notDispatched(RefusalReason.CLAIMS_UNAVAILABLE);
  }

  /** Tries the replicas in order until one was reached; no other is tried after that. */
  private void dispatch(ImmutableList<Replica> candidates, ImmutableList<String> tried) {
    Duration remaining = remaining();
    if (candidates.isEmpty() || remaining.isZero()) {
      withdraw();
      RefusalReason reason = remaining.isZero() ? RefusalReason.EXPIRED : RefusalReason.NO_REPLICA;
      complete(
          CompletedCall.withoutResponse(
              new Outcome.Refused(reason, AdmissionPolicy.RETRY_AFTER), tried));
      return;
    }
    Replica replica = candidates.get(0);
    ImmutableList<String> triedWithCurrent =
        ImmutableList.<String>builder().addAll(tried).add(replica.id().value()).build();
    context
        .services()
        .call(replica, call, remaining)
        .thenAccept(
            result -> onResult(result, candidates.subList(1, candidates.size()), triedWithCurrent));
  }

  private void onResult(
      CallResult result, ImmutableList<Replica> rest, ImmutableList<String> tried) {
    if (result instanceof CallResult.NotSent) {
      dispatch(rest, tried);
    } else if (result instanceof CallResult.Response response) {
      context.claims().complete(claim.key(), claim.nonce(), CallOutcomeCodec.encode(response));
      complete(CompletedCall.answered(response, tried));
    } else {
      context.claims().complete(claim.key(), claim.nonce(), CallOutcomeCodec.encodeUnknown());
      complete(
          CompletedCall.withoutResponse(new Outcome.Unknown(UnknownReason.BACKEND_SILENT), tried));
    }
  }

  private void withdraw() {
    context.claims().withdraw(claim.key(), claim.nonce());
  }

  private void completeClaiming(CompletedCall completed) {
    if (phase.compareAndSet(Phase.CLAIMING, Phase.ENDED)) {
      complete(completed);
    }
  }

  private void complete(CompletedCall completed) {
    result.complete(completed);
  }

  private Duration remaining() {
    return call.deadline().remaining(context.timing().nanoTime());
  }

  private static CompletedCall refused(RefusalReason reason) {
    Duration retryAfter = reason.retryable() ? AdmissionPolicy.RETRY_AFTER : Duration.ZERO;
    return CompletedCall.withoutResponse(
        new Outcome.Refused(reason, retryAfter), ImmutableList.of());
  }
}
