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
 * One forwarded request at its steward, from its acceptance to its end. Confined to the replica's
 * sequential executor.
 */
final class RunningSequence implements GenerationListener {

  private final ReplicaSteward owner;
  private final ForwardedRequest forwarded;
  private final ForwardListener listener;
  private final Incarnation acceptedUnder;
  private long position;
  private long credit;
  private boolean started;
  private boolean ended;
  private @Nullable EngineRequest engineRequest;
  private Flow.@Nullable Subscription stream;

  RunningSequence(ReplicaSteward owner, ForwardedRequest forwarded, ForwardListener listener) {
    this.owner = owner;
    this.forwarded = forwarded;
    this.listener = listener;
    this.position = forwarded.resumeAt();
    this.acceptedUnder = owner.self();
  }

  /** Returns the life of this daemon that accepted the request. */
  Incarnation acceptedUnder() {
    return acceptedUnder;
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

  long position() {
    return position;
  }

  /** Starts the sequence on the engine. */
  void dispatch(EngineRequest toEngine) {
    engineRequest = toEngine;
    stream = owner.engine().generate(toEngine, this);
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

  /** Lets no further event pass; returns false if that had been done before. */
  boolean end() {
    if (ended) {
      return false;
    }
    ended = true;
    owner.onSequenceEnd();
    return true;
  }

  void stopStream() {
    if (stream != null) {
      stream.cancel();
    }
  }

  @Override
  public void onChunk(TokenChunk chunk) {
    owner.execute(() -> passOn(chunk));
  }

  @Override
  public void onEnd(GenerationEnd end) {
    owner.execute(
        () -> {
          if (!ended) {
            owner.onEngineEnd(this, end);
          }
        });
  }

  private void passOn(TokenChunk chunk) {
    if (ended) {
      return;
    }
    boolean expected =
        chunk.request().equals(forwarded.request().id()) && chunk.position() == position;
    if (!expected) {
      owner.onEngineEnd(this, new GenerationEnd.Broken(EngineFailure.MALFORMED));
      return;
    }
    if (!started) {
      started = true;
      owner.onFirstToken(this);
    }
    position = chunk.endPosition();
    credit--;
    listener.onChunk(chunk);
  }
}
