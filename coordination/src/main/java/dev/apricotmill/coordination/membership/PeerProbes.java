package dev.apricotmill.coordination.membership;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The client interface with which daemons probe each other and fetch parts of the configuration.
 *
 * <p>The stages complete within {@code timeout} and never exceptionally.
 */
public interface PeerProbes {

  /** Sends a probe. */
  CompletionStage<ProbeResult> probe(PeerAddress peer, ProbeMessage message, Duration timeout);

  /** Asks {@code peer} to probe {@code target} and to forward the result. */
  CompletionStage<ProbeResult> probeThrough(
      PeerAddress peer, Member target, ProbeMessage message, Duration timeout);

  /** Fetches a named, immutable part of the configuration from a peer. */
  CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout);
}
