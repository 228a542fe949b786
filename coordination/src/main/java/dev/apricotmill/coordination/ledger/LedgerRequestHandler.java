package dev.apricotmill.coordination.ledger;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Handles requests of peers; called by the transport behind {@link LedgerPeers}. */
@FunctionalInterface
public interface LedgerRequestHandler {

  /** Handles an encoded request; returns the encoded response, empty if it is malformed. */
  CompletionStage<Optional<byte[]>> onLedgerRequest(byte[] request);
}
