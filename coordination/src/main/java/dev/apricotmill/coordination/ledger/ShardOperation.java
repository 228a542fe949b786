package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** An operation on a shard that waits for its batch. */
abstract sealed class ShardOperation {

  private final LedgerKey key;
  private final Deadline deadline;
  private boolean mayHaveTakenEffect;

  ShardOperation(LedgerKey key, Deadline deadline) {
    this.key = key;
    this.deadline = deadline;
  }

  LedgerKey key() {
    return key;
  }

  Deadline deadline() {
    return deadline;
  }

  /** Returns whether an update with this operation may have taken effect without confirmation. */
  boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }

  void setMayHaveTakenEffect(boolean value) {
    mayHaveTakenEffect = value;
  }

  /** Completes the operation without success. */
  abstract void fail(PlatformFailure failure);

  /** Makes a claim. */
  static final class Claim extends ShardOperation {

    private final ClaimRequest request;
    private final Deadline dispatchBefore;
    private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();

    Claim(ClaimRequest request, Deadline deadline, Deadline dispatchBefore) {
      super(request.key(), deadline);
      this.request = request;
      this.dispatchBefore = dispatchBefore;
    }

    ClaimRequest request() {
      return request;
    }

    CompletableFuture<ClaimResult> result() {
      return result;
    }

    ClaimResult claimed() {
      return new ClaimResult.Claimed(dispatchBefore);
    }

    @Override
    void fail(PlatformFailure failure) {
      result.complete(
          mayHaveTakenEffect()
              ? new ClaimResult.Undetermined(failure)
              : new ClaimResult.Unavailable(failure));
    }
  }

  /** Records an outcome or a withdrawal. */
  static final class End extends ShardOperation {

    private final ClaimNonce nonce;
    private final ClaimEnd end;
    private final CompletableFuture<RecordResult> result = new CompletableFuture<>();

    End(LedgerKey key, ClaimNonce nonce, ClaimEnd end, Deadline deadline) {
      super(key, deadline);
      this.nonce = nonce;
      this.end = end;
    }

    ClaimNonce nonce() {
      return nonce;
    }

    ClaimEnd end() {
      return end;
    }

    CompletableFuture<RecordResult> result() {
      return result;
    }

    @Override
    void fail(PlatformFailure failure) {
      result.complete(new RecordResult.NotRecorded(failure));
    }
  }
}
