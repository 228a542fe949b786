package dev.apricotmill.coordination.ledger;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The receiving side of {@link LedgerPeers}; a transport calls it for what peers ask. */
@FunctionalInterface
public interface LedgerRequestHandler {

  /** Answers a question; empty if it cannot be understood. */
  CompletionStage<Optional<byte[]>> onLedgerRequest(byte[] request);
}
