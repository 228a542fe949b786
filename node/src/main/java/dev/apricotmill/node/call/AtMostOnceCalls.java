package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.ledger.ClaimNonce;
import dev.apricotmill.coordination.ledger.ClaimRequest;
import dev.apricotmill.coordination.ledger.KeyWindow;
import dev.apricotmill.coordination.ledger.LedgerKey;
import dev.apricotmill.coordination.ledger.RequestFingerprint;
import dev.apricotmill.core.configuration.KeyPolicy;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ServiceCall;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Runs at-most-once calls: each is claimed in the platform's store before it is dispatched. */
final class AtMostOnceCalls {

  /** How far a key's creation time may be in the future, since callers' clocks may be ahead. */
  private static final Duration MAXIMUM_KEY_CLOCK_SKEW = Duration.ofMinutes(1);

  private final CallContext context;

  AtMostOnceCalls(CallContext context) {
    this.context = context;
  }

  CompletionStage<CompletedCall> run(ServiceCall call, KeyPolicy policy, Optional<String> key) {
    if (key.isEmpty()) {
      return refuse(RefusalReason.KEY_REQUIRED);
    }
    Optional<LedgerKey> ledgerKey =
        ScopedKey.of(call.customer(), call.service(), policy.form(), key.get());
    if (ledgerKey.isEmpty()) {
      return refuse(RefusalReason.KEY_MALFORMED);
    }
    ClaimRequest claim =
        new ClaimRequest(
            ledgerKey.get(),
            fingerprint(call),
            context.self().get(),
            ClaimNonce.next(context.random()),
            new KeyWindow(policy.window(), MAXIMUM_KEY_CLOCK_SKEW));
    return new AtMostOnceCall(context, call, claim).run();
  }

  private static RequestFingerprint fingerprint(ServiceCall call) {
    byte[] head = (call.method() + " " + call.path() + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] request = new byte[head.length + call.body().length];
    System.arraycopy(head, 0, request, 0, head.length);
    System.arraycopy(call.body(), 0, request, head.length, call.body().length);
    return RequestFingerprint.of(request);
  }

  private static CompletionStage<CompletedCall> refuse(RefusalReason reason) {
    return CompletableFuture.completedFuture(
        CompletedCall.withoutResponse(
            new Outcome.Refused(reason, Duration.ZERO), ImmutableList.of()));
  }
}
