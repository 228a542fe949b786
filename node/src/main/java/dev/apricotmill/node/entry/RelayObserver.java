package dev.apricotmill.node.entry;

import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.request.GenerationRequest;

/** Is told of a request's first token and of its end, once each. */
interface RelayObserver {

  void onFirstToken(GenerationRequest request);

  void onEnd(GenerationRequest request, Outcome outcome, ForwardEnd.Usage usage);
}
