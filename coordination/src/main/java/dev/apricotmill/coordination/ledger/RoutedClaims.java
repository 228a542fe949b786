package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.coordination.time.Timing;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Sends each claim to the daemon that usually writes its shard, so that the claims of all daemons
 * share updates; writes it itself when that daemon is silent.
 *
 * <p>The usual writer is chosen by rendezvous hash over the living daemons of all zones. It is a
 * habit, not a right: the conditional update keeps the ledger right whoever writes. The same nonce
 * goes to the peer and into the own attempt, so that a peer which acts after it fell silent makes
 * the same claim and not another.
 */
public final class RoutedClaims implements Claims {

  private final Timing timing;
  private final Claims local;
  private final LedgerPeers peers;
  private final RoutedSettings settings;
  private final Supplier<Member> self;
  private final Supplier<MembershipView> view;
  private final Map<DaemonId, Long> unresponsiveSinceNanos = new ConcurrentHashMap<>();

  /**
   * Makes a router.
   *
   * @param timing time and the scheduler
   * @param local this daemon's own ledger
   * @param peers the port to the ledgers of the other daemons
   * @param settings the times
   * @param self gives this daemon as the membership knows it
   * @param view gives the newest view of the membership
   */
  public RoutedClaims(
      Timing timing,
      Claims local,
      LedgerPeers peers,
      RoutedSettings settings,
      Supplier<Member> self,
      Supplier<MembershipView> view) {
    this.timing = timing;
    this.local = local;
    this.peers = peers;
    this.settings = settings;
    this.self = self;
    this.view = view;
  }

  @Override
  public CompletionStage<ClaimResult> claim(ClaimRequest request) {
    Deadline dispatchBefore = timing.deadlineAfter(settings.claimValidity());
    return forwardToWriter(request.key(), LedgerRequest.claim(request))
        .thenCompose(
            forwarded -> {
              if (forwarded instanceof ForwardResult.NotForwarded) {
                return local.claim(request);
              }
              if (forwarded instanceof ForwardResult.Answered answered) {
                return onResponse(request, answered.response().toClaimResult(dispatchBefore));
              }
              return local.claim(request).thenApply(RoutedClaims::afterNoAnswer);
            });
  }

  @Override
  public CompletionStage<RecordResult> complete(
      LedgerKey key, ClaimNonce nonce, RecordedOutcome outcome) {
    return recordEnd(
        key,
        LedgerRequest.complete(key, nonce, outcome),
        () -> local.complete(key, nonce, outcome));
  }

  @Override
  public CompletionStage<RecordResult> withdraw(LedgerKey key, ClaimNonce nonce) {
    return recordEnd(key, LedgerRequest.withdraw(key, nonce), () -> local.withdraw(key, nonce));
  }

  /** A peer that could not reach the platform made no claim, so this daemon may try. */
  private CompletionStage<ClaimResult> onResponse(ClaimRequest request, ClaimResult result) {
    return result instanceof ClaimResult.Unavailable
        ? local.claim(request)
        : CompletableFuture.completedFuture(result);
  }

  /** A silent peer may still make the claim, so that it is not certain to be absent. */
  private static ClaimResult afterNoAnswer(ClaimResult result) {
    return result instanceof ClaimResult.Unavailable unavailable
        ? new ClaimResult.Undetermined(unavailable.failure())
        : result;
  }

  private CompletionStage<RecordResult> recordEnd(
      LedgerKey key,
      LedgerRequest request,
      Supplier<CompletionStage<RecordResult>> localOperation) {
    return forwardToWriter(key, request)
        .thenCompose(
            forwarded -> {
              RecordResult result =
                  forwarded instanceof ForwardResult.Answered answered
                      ? answered.response().toRecordResult()
                      : null;
              return result instanceof RecordResult.Recorded
                  ? CompletableFuture.completedFuture(result)
                  : localOperation.get();
            });
  }

  /** What came of asking the usual writer. */
  private sealed interface ForwardResult {

    /** This daemon is the writer, or the writer is known to be silent and was not asked. */
    record NotForwarded() implements ForwardResult {}

    /** The writer answered. */
    record Answered(LedgerAnswer response) implements ForwardResult {}

    /** The writer was asked and may still act. */
    record NoAnswer() implements ForwardResult {}
  }

  private CompletionStage<ForwardResult> forwardToWriter(LedgerKey key, LedgerRequest request) {
    Optional<Member> writer = remoteWriter(key);
    if (writer.isEmpty()) {
      return CompletableFuture.completedFuture(new ForwardResult.NotForwarded());
    }
    return peers
        .send(writer.get().address(), LedgerCodec.encode(request), settings.requestTimeout())
        .thenApply(result -> onCallResult(result, writer.get().incarnation().daemon()));
  }

  private ForwardResult onCallResult(LedgerCallResult result, DaemonId writer) {
    Optional<LedgerAnswer> response =
        result instanceof LedgerCallResult.Answered answered
            ? LedgerCodec.decode(answered.value(), LedgerAnswer.class)
            : Optional.empty();
    if (response.isEmpty()) {
      unresponsiveSinceNanos.put(writer, timing.nanoTime());
      return new ForwardResult.NoAnswer();
    }
    return new ForwardResult.Answered(response.get());
  }

  /** Returns the other daemon to ask, empty if this daemon is to write itself. */
  private Optional<Member> remoteWriter(LedgerKey key) {
    ImmutableList<Member> alive =
        view.get().owners().stream()
            .filter(member -> member.state() == MemberState.ALIVE)
            .collect(ImmutableList.toImmutableList());
    return RendezvousHash.owner(alive, "ledger/" + ClaimsLedger.shardOf(key))
        .filter(member -> !member.incarnation().daemon().equals(self.get().incarnation().daemon()))
        .filter(member -> !isCoolingDown(member.incarnation().daemon()));
  }

  private boolean isCoolingDown(DaemonId daemon) {
    Long since = unresponsiveSinceNanos.get(daemon);
    return since != null && timing.nanoTime() - since < settings.unresponsiveCoolDown().toNanos();
  }
}
