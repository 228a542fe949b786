package dev.apricotmill.core.routing;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.request.ReplicaId;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Predicts waiting times at a replica from its last load report and from the requests that this
 * daemon has sent since.
 *
 * <p>Thread-safe.
 */
final class ReplicaLoadEstimator {

  private final ConcurrentHashMap<ReplicaId, SentWork> sent = new ConcurrentHashMap<>();

  /** Records that a request is sent to a replica. */
  void onSend(ReplicaView view, GenerationRequest request) {
    LengthClass lengthClass = LengthClass.of(request.promptTokens());
    sent.compute(
        view.replica(),
        (replica, known) ->
            sentSinceReport(view, known)
                .plus(lengthClass, request.promptTokens(), request.memoryTokens()));
  }

  /** Predicts the wait of a request at a replica before its prefill, in seconds. */
  double waitSeconds(ReplicaView view, GenerationRequest request, long nowNanos) {
    double rate = view.load().prefillTokensPerSecond();
    if (rate <= 0) {
      return 0;
    }
    SentWork sentSince = sentSinceReport(view, sent.get(view.replica()));
    LengthClass lengthClass = LengthClass.of(request.promptTokens());
    long tokensAhead =
        view.load().queuedPromptTokensUpTo(lengthClass) + sentSince.promptTokensUpTo(lengthClass);
    double prefillWaitSeconds = Math.max(0, tokensAhead / rate - ageSeconds(view, nowNanos));
    long freeTokens =
        view.load().memoryTokens() - view.load().reservedTokens() - sentSince.memoryTokens();
    double memoryWaitSeconds =
        request.memoryTokens() <= freeTokens ? 0 : view.load().reservedTokens() / rate;
    return Math.max(prefillWaitSeconds, memoryWaitSeconds);
  }

  /** Predicts the time that a replica is busy with prompts of all lengths, in seconds. */
  double busySeconds(ReplicaView view, long nowNanos) {
    double rate = view.load().prefillTokensPerSecond();
    if (rate <= 0) {
      return 0;
    }
    SentWork sentSince = sentSinceReport(view, sent.get(view.replica()));
    long pendingTokens =
        view.load().queuedPromptTokens() + sentSince.promptTokensUpTo(LengthClass.HUGE);
    return Math.max(0, pendingTokens / rate - ageSeconds(view, nowNanos));
  }

  /** Drops the state of replicas that are not in {@code configured}. */
  void retain(Set<ReplicaId> configured) {
    sent.keySet().retainAll(configured);
  }

  private static double ageSeconds(ReplicaView view, long nowNanos) {
    return (double) Math.max(0, nowNanos - view.loadAtNanos()) / TimeUnit.SECONDS.toNanos(1);
  }

  private static SentWork sentSinceReport(ReplicaView view, @Nullable SentWork known) {
    if (known == null || known.loadAtNanos() != view.loadAtNanos()) {
      return SentWork.none(view.loadAtNanos());
    }
    return known;
  }
}
