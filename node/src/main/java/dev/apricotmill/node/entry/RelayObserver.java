package dev.apricotmill.node.entry;

import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.request.GenerationRequest;

/**
 * Observes a relayed request: {@link #onFirstToken} is called at most once, {@link #onEnd} exactly
 * once.
 */
interface RelayObserver {

  void onFirstToken(GenerationRequest request);

  void onEnd(GenerationRequest request, Outcome outcome, ForwardEnd.Usage usage);
}
