package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.CallSubmission;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.entry.Admission;
import dev.apricotmill.node.entry.AdmissionPolicy;
import dev.apricotmill.node.entry.RequestLimiter;
import dev.apricotmill.node.entry.RequestMeters;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.trace.HopSpan;
import io.opentelemetry.api.trace.Tracer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;

/** Accepts callers' calls of plain services. Thread-safe. */
public final class CallEntry {

  private final Timing timing;
  private final Supplier<Incarnation> self;
  private final Supplier<FleetView> fleet;
  private final Supplier<NodeStatus.Phase> phase;
  private final AdmissionPolicy policy;
  private final RequestLimiter requestLimiter;
  private final RequestMeters meters;
  private final Tracer tracer;
  private final AtMostOnceCalls atMostOnceCalls;
  private final IdempotentCalls idempotentCalls;
  private final ConcurrentMap<RequestId, CompletableFuture<CompletedCall>> openCalls =
      new ConcurrentHashMap<>();

  /** Creates an entry; {@code phase} supplies the daemon's current phase. */
  public CallEntry(
      CallContext context,
      Supplier<NodeStatus.Phase> phase,
      AdmissionPolicy policy,
      RequestLimiter requestLimiter,
      RequestMeters meters,
      Tracer tracer) {
    this.timing = context.timing();
    this.self = context.self();
    this.fleet = context.fleet();
    this.phase = phase;
    this.policy = policy;
    this.requestLimiter = requestLimiter;
    this.meters = meters;
    this.tracer = tracer;
    this.atMostOnceCalls = new AtMostOnceCalls(context);
    this.idempotentCalls = new IdempotentCalls(context);
  }

  /** Calls a plain service; see {@link dev.apricotmill.node.api.RequestEntry#call}. */
  public CompletionStage<CallResponse> call(CallSubmission submission) {
    HopSpan span = HopSpan.start(tracer, "entry", submission.id(), submission.traceParent());
    Admission admission =
        policy.decide(
            fleet.get(),
            phase.get(),
            submission.customerKey(),
            submission.service(),
            submission.method(),
            submission.path(),
            submission.timeLimit());
    if (admission instanceof Admission.Rejected rejected) {
      return refuse(submission, span, rejected.outcome());
    }
    Admission.Admitted admitted = (Admission.Admitted) admission;
    if (!(admitted.service() instanceof Service.PlainPool pool)) {
      return refuse(submission, span, RefusalReason.UNKNOWN_SERVICE);
    }
    Optional<Outcome.Refused> limitRefusal = requestLimiter.acquire(admitted.customer(), 0);
    if (limitRefusal.isPresent()) {
      return refuse(submission, span, limitRefusal.get());
    }
    CompletableFuture<CompletedCall> call =
        run(submission, admitted, pool, span).toCompletableFuture().copy();
    openCalls.put(submission.id(), call);
    return call.whenComplete((completed, failure) -> openCalls.remove(submission.id()))
        .thenApply(
            completed -> completeCall(submission, admitted.customer().id(), span, completed));
  }

  /**
   * Ends all open calls with an unknown outcome: one that has not been sent to a replica yet may
   * still be sent before the process ends.
   */
  public void endOpenRequests() {
    CompletedCall stopped =
        CompletedCall.withoutResponse(
            new Outcome.Unknown(UnknownReason.DAEMON_STOPPED), ImmutableList.of());
    openCalls.values().forEach(call -> call.complete(stopped));
  }

  private CompletionStage<CompletedCall> run(
      CallSubmission submission,
      Admission.Admitted admitted,
      Service.PlainPool pool,
      HopSpan span) {
    ServiceCall call =
        new ServiceCall(
            submission.id(),
            admitted.customer().id(),
            submission.service(),
            submission.method(),
            submission.path(),
            CallHeaders.forBackend(submission, span.traceParent()),
            submission.body(),
            timing.deadlineAfter(admitted.timeLimit()));
    if (admitted.repetition() == Rule.Repetition.IDEMPOTENT) {
      return idempotentCalls.run(call);
    }
    return atMostOnceCalls.run(call, pool.keyPolicy(), submission.idempotencyKey());
  }

  private CallResponse completeCall(
      CallSubmission submission, CustomerId customer, HopSpan span, CompletedCall completed) {
    requestLimiter.release(customer);
    span.end(completed.outcome());
    meters.countOutcome(submission.service(), completed.outcome());
    ImmutableList<String> hops =
        ImmutableList.<String>builder()
            .add(self.get().daemon().name())
            .addAll(completed.replicas())
            .build();
    return new CallResponse(
        submission.id(), completed.outcome(), completed.response(), completed.replayed(), hops);
  }

  private CompletionStage<CallResponse> refuse(
      CallSubmission submission, HopSpan span, RefusalReason reason) {
    return refuse(submission, span, new Outcome.Refused(reason, AdmissionPolicy.RETRY_AFTER));
  }

  private CompletionStage<CallResponse> refuse(
      CallSubmission submission, HopSpan span, Outcome.Refused outcome) {
    span.end(outcome);
    meters.countRefusal(submission.service(), outcome);
    ImmutableList<String> hops = ImmutableList.of(self.get().daemon().name());
    return CompletableFuture.completedFuture(
        new CallResponse(submission.id(), outcome, Optional.empty(), false, hops));
  }
}
