package dev.apricotmill.coordination.membership;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The port through which daemons probe each other and fetch parts of the configuration.
 *
 * <p>Stages complete normally within {@code timeout} and never exceptionally.
 */
public interface PeerProbes {

  /** Sends a probe. */
  CompletionStage<ProbeResult> probe(PeerAddress peer, ProbeMessage message, Duration timeout);

  /** Asks {@code peer} to probe {@code target} and to say whether it answered. */
  CompletionStage<ProbeResult> probeThrough(
      PeerAddress peer, Member target, ProbeMessage message, Duration timeout);

  /** Fetches a named immutable part from a peer. */
  CompletionStage<FetchResult> fetch(PeerAddress peer, String partName, Duration timeout);
}
