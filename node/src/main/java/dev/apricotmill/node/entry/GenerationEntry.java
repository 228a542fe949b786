package dev.apricotmill.node.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Rule;
import dev.apricotmill.core.configuration.Service;
import dev.apricotmill.core.length.LengthEstimator;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.PrefixFingerprint;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.node.api.GenerationResponseEnd;
import dev.apricotmill.node.api.GenerationResponseListener;
import dev.apricotmill.node.api.GenerationSubmission;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.trace.HopSpan;
import io.opentelemetry.api.trace.Tracer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Flow;
import java.util.function.Supplier;

/** Accepts callers' requests for generated text. Thread-safe. */
public final class GenerationEntry {

  private static final String METHOD = "POST";
  private static final String PATH = "/";
  private static final int FINGERPRINTED_PREFIX_CHARACTERS = 1024;

  private final EntryContext context;
  private final AdmissionPolicy policy;
  private final RequestLimiter requestLimiter;
  private final Supplier<NodeStatus.Phase> phase;
  private final RequestMeters meters;
  private final Tracer tracer;
  private final LengthEstimator lengthEstimator = new LengthEstimator();
  private final ConcurrentMap<RequestId, GenerationRelay> openRelays = new ConcurrentHashMap<>();

  /** Creates an entry; {@code phase} supplies the daemon's current phase. */
  public GenerationEntry(
      EntryContext context,
      AdmissionPolicy policy,
      RequestLimiter requestLimiter,
      Supplier<NodeStatus.Phase> phase,
      RequestMeters meters,
      Tracer tracer) {
    this.context = context;
    this.policy = policy;
    this.requestLimiter = requestLimiter;
    this.phase = phase;
    this.meters = meters;
    this.tracer = tracer;
  }

  /** Ends all open requests, as refused if they certainly did not run. */
  public void endOpenRequests() {
    openRelays.values().forEach(GenerationRelay::endBeforeStop);
  }

  /** Submits a request; see {@link dev.apricotmill.node.api.RequestEntry#generate}. */
  public Flow.Subscription generate(
      GenerationSubmission submission, GenerationResponseListener listener) {
    HopSpan span = HopSpan.start(tracer, "entry", submission.id(), submission.traceParent());
    Admission admission =
        policy.decide(
            context.fleet().get(),
            phase.get(),
            submission.customerKey(),
            submission.service(),
            METHOD,
            PATH,
            submission.timeLimit());
    if (admission instanceof Admission.Rejected rejected) {
      return refuse(submission, span, listener, rejected.outcome());
    }
    Admission.Admitted admitted = (Admission.Admitted) admission;
    if (!(admitted.service() instanceof Service.ModelPool)) {
      return refuse(submission, span, listener, RefusalReason.UNKNOWN_SERVICE);
    }
    if (admitted.repetition() == Rule.Repetition.AT_MOST_ONCE) {
      // Generations are not claimed in the ledger, so a repeated key would run again.
      return refuse(submission, span, listener, RefusalReason.FORBIDDEN_BY_RULE);
    }
    GenerationRequest request = toRequest(submission, admitted);
    Optional<Outcome.Refused> limitRefusal =
        requestLimiter.acquire(admitted.customer(), request.promptTokens());
    if (limitRefusal.isPresent()) {
      return refuse(submission, span, listener, limitRefusal.get());
    }
    return startRelay(request, span, listener);
  }

  private Flow.Subscription startRelay(
      GenerationRequest request, HopSpan span, GenerationResponseListener listener) {
    RequestMeters.RequestRecorder recorder = meters.start(request, context.timing().nanoTime());
    RelayObserver observer =
        new RelayObserver() {
          @Override
          public void onFirstToken(GenerationRequest started) {
            recorder.recordFirstToken(context.timing().nanoTime());
          }

          @Override
          public void onEnd(GenerationRequest ended, Outcome outcome, ForwardEnd.Usage usage) {
            openRelays.remove(ended.id());
            requestLimiter.release(ended.customer());
            lengthEstimator.observe(ended.service(), ended.prompt().length(), usage.promptTokens());
            recorder.recordEnd(outcome);
          }
        };
    context.retryBudget().onRequest();
    GenerationRelay relay = new GenerationRelay(context, request, listener, span, observer);
    openRelays.put(request.id(), relay);
    relay.start();
    return relay;
  }

  private GenerationRequest toRequest(
      GenerationSubmission submission, Admission.Admitted admitted) {
    Timing timing = context.timing();
    return new GenerationRequest(
        submission.id(),
        admitted.customer().id(),
        submission.service(),
        submission.prompt(),
        lengthEstimator.estimate(submission.service(), submission.prompt().length()).tokens(),
        submission.maximumOutputTokens(),
        admitted.customer().priority(),
        admitted.customer().weight(),
        fingerprint(submission.prompt()),
        admitted.repetition() == Rule.Repetition.IDEMPOTENT,
        timing.deadlineAfter(admitted.timeLimit()));
  }

  private static PrefixFingerprint fingerprint(String prompt) {
    if (prompt.length() < FINGERPRINTED_PREFIX_CHARACTERS) {
      return PrefixFingerprint.NONE;
    }
    String prefix = prompt.substring(0, FINGERPRINTED_PREFIX_CHARACTERS);
    long hash = Hashing.farmHashFingerprint64().hashString(prefix, StandardCharsets.UTF_8).asLong();
    return new PrefixFingerprint(hash == 0 ? 1 : hash);
  }

  private Flow.Subscription refuse(
      GenerationSubmission submission,
      HopSpan span,
      GenerationResponseListener listener,
      RefusalReason reason) {
    return refuse(
        submission, span, listener, new Outcome.Refused(reason, AdmissionPolicy.RETRY_AFTER));
  }

  private Flow.Subscription refuse(
      GenerationSubmission submission,
      HopSpan span,
      GenerationResponseListener listener,
      Outcome.Refused outcome) {
    span.end(outcome);
    meters.countRefusal(submission.service(), outcome);
    ImmutableList<String> hops = ImmutableList.of(context.self().get().daemon().name());
    listener.onEnd(
        new GenerationResponseEnd(submission.id(), outcome, ForwardEnd.Usage.NONE, hops));
    return NoOpSubscription.INSTANCE;
  }
}
