package dev.apricotmill.node.steward;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.peer.ForwardListener;
import dev.apricotmill.core.peer.ForwardedRequest;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/**
 * One forwarded request at its steward (the daemon that owns the replica), from its acceptance to
 * its end. Confined to the replica's sequential executor.
 */
final class RunningSequence implements GenerationListener {

  private final ReplicaSteward steward;
  private final ForwardedRequest forwarded;
  private final ForwardListener listener;
  private final Incarnation acceptingIncarnation;
  private long nextPosition;
  private long credit;
  private boolean firstTokenSeen;
  private boolean ended;
  private @Nullable EngineRequest engineRequest;
  private Flow.@Nullable Subscription stream;

  RunningSequence(ReplicaSteward steward, ForwardedRequest forwarded, ForwardListener listener) {
    this.steward = steward;
    this.forwarded = forwarded;
    this.listener = listener;
    this.nextPosition = forwarded.resumeAt();
    this.acceptingIncarnation = steward.self();
  }

  /** Returns the incarnation of this daemon that accepted the request. */
  Incarnation acceptingIncarnation() {
    return acceptingIncarnation;
  }

  ForwardedRequest forwarded() {
    return forwarded;
  }

  ForwardListener listener() {
    return listener;
  }

  boolean dispatched() {
    return engineRequest != null;
  }

  @Nullable EngineRequest engineRequest() {
    return engineRequest;
  }

  long nextPosition() {
    return nextPosition;
  }

  /** Starts the sequence on the engine. */
  void dispatch(EngineRequest dispatchedRequest) {
    engineRequest = dispatchedRequest;
    stream = steward.engine().generate(dispatchedRequest, this);
    if (credit > 0) {
      stream.request(credit);
    }
  }

  void addCredit(long chunks) {
    credit += chunks;
    if (stream != null && !ended) {
      stream.request(chunks);
    }
  }

  /** Ends the request, so that later events are dropped; returns false if it had already ended. */
  boolean markEnded() {
    if (ended) {
      return false;
    }
    ended = true;
    steward.notifySequenceEnd();
    return true;
  }

  void stopStream() {
    if (stream != null) {
      stream.cancel();
    }
  }

  @Override
  public void onChunk(TokenChunk chunk) {
    steward.execute(() -> forwardChunk(chunk));
  }

  @Override
  public void onEnd(GenerationEnd end) {
    steward.execute(
        () -> {
          if (!ended) {
            steward.onEngineEnd(this, end);
          }
        });
  }

  private void forwardChunk(TokenChunk chunk) {
    if (ended) {
      return;
    }
    boolean isNextChunk =
        chunk.request().equals(forwarded.request().id()) && chunk.position() == nextPosition;
    if (!isNextChunk) {
      steward.onEngineEnd(this, new GenerationEnd.Broken(EngineFailure.MALFORMED));
      return;
    }
    if (!firstTokenSeen) {
      firstTokenSeen = true;
      steward.onFirstToken(this);
    }
    nextPosition = chunk.endPosition();
    credit--;
    listener.onChunk(chunk);
  }
}
