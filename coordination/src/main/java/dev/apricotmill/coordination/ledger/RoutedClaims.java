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
 * Forwards each claim to the preferred writer of its shard, so that claims of all daemons share
 * updates. If the preferred writer does not respond, this daemon writes the claim itself.
 *
 * <p>The preferred writer is chosen by rendezvous hashing over the live daemons of all zones. It
 * has no exclusive right to write: the conditional update keeps the ledger consistent whichever
 * daemon writes. The forwarded request and the local attempt use the same nonce, so that a peer
 * which acts after the timeout makes the same claim and not a second one.
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
   * Creates a router.
   *
   * @param timing the clocks and the scheduler
   * @param local this daemon's own ledger
   * @param peers the client interface to the ledgers of other daemons
   * @param settings the timeouts
   * @param self returns this daemon's current membership entry
   * @param view returns the current membership view
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
    return record(
        key,
        LedgerRequest.complete(key, nonce, outcome),
        () -> local.complete(key, nonce, outcome));
  }

  @Override
  public CompletionStage<RecordResult> withdraw(LedgerKey key, ClaimNonce nonce) {
    return record(key, LedgerRequest.withdraw(key, nonce), () -> local.withdraw(key, nonce));
  }

  /** Makes the claim locally if the peer could not use the platform and so made no claim. */
  private CompletionStage<ClaimResult> onResponse(ClaimRequest request, ClaimResult result) {
    return result instanceof ClaimResult.Unavailable
        ? local.claim(request)
        : CompletableFuture.completedFuture(result);
  }

  /**
   * Turns {@code Unavailable} into {@code Undetermined}, since a peer that did not respond may
   * still make the claim.
   */
  private static ClaimResult afterNoAnswer(ClaimResult result) {
    return result instanceof ClaimResult.Unavailable unavailable
        ? new ClaimResult.Undetermined(unavailable.failure())
        : result;
  }

  private CompletionStage<RecordResult> record(
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

  /** The result of forwarding a request to the preferred writer. */
  private sealed interface ForwardResult {

    /** This daemon is the preferred writer, or the preferred writer is in its cool-down. */
    record NotForwarded() implements ForwardResult {}

    /** The preferred writer sent a valid response. */
    record Answered(LedgerResponse response) implements ForwardResult {}

    /** The preferred writer sent no valid response and may still process the request. */
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
    Optional<LedgerResponse> response =
        result instanceof LedgerCallResult.Answered answered
            ? LedgerCodec.decode(answered.value(), LedgerResponse.class)
            : Optional.empty();
    if (response.isEmpty()) {
      unresponsiveSinceNanos.put(writer, timing.nanoTime());
      return new ForwardResult.NoAnswer();
    }
    return new ForwardResult.Answered(response.get());
  }

  /** Returns the daemon to forward to, empty if this daemon is to write. */
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
